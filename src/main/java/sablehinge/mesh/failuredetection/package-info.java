/**
 * Failure detection: a hash ring names each balancer's watchers, watchers suspect peers by missing heartbeats, the
 * leader evaluates. It decides only; both planes use it.
 */
package sablehinge.mesh.failuredetection;
