/**
 * The decision module of the balancer: l of smoothed latency and success share, draws in proportion to 1/l over ready
 * upstreams, retries, shedding. No clock, thread or I/O; see {@link sablehinge.policy.LoadBalancer}.
 */
package sablehinge.policy;
