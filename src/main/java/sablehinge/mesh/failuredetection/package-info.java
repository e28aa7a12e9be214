/**
 * Failure detection: a hash ring assigns watchers to each balancer, watchers suspect peers that miss heartbeats, and
 * the leader evaluates their reports. The package does no I/O and is used by both planes.
 */
package sablehinge.mesh.failuredetection;
