/**
 * The sidecar: outbound and inbound balancer beside an upstream, its view of the registry, quotas and retry budgets,
 * and heartbeats with its peers. It keeps nothing on disk.
 */
package sablehinge.dataplane.sidecar;
