/**
 * The sidecar: outbound and inbound proxy of an upstream, its view of the registry, quotas and retry budgets, and
 * heartbeats with its peers. It stores nothing on disk.
 */
package sablehinge.dataplane.sidecar;
