/**
 * Tenants' quotas as token buckets: even shares on each balancer, the rest a pool on the leader. It decides only; both
 * planes use it.
 */
package sablehinge.mesh.quota;
