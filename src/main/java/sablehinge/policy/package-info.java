/**
 * The load-balancing policy: a cost l per upstream from smoothed latency and success share, random draws in proportion
 * to 1/l among the ready upstreams, retries and load shedding. It has no clock, thread or I/O. Hosts use
 * {@link sablehinge.policy.LoadBalancer}; {@link sablehinge.policy.LatencyWeightedBalancer} handles requests and lists
 * the classes that make the decisions.
 */
package sablehinge.policy;
