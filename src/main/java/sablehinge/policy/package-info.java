/**
 * The decision module of the balancer: l of smoothed latency and success share, draws in proportion to 1/l over ready
 * upstreams, retries, shedding. No clock, thread or I/O. Hosts use {@link sablehinge.policy.LoadBalancer};
 * {@link sablehinge.policy.LatencyWeightedBalancer} follows a request and says which class decides what.
 */
package sablehinge.policy;
