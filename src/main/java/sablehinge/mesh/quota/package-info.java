/**
 * Tenants' quotas as token buckets: even shares on the balancers and a pool on the leader. The package does no I/O and
 * is used by both planes.
 */
package sablehinge.mesh.quota;
