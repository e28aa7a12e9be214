/**
 * The replicated configuration state, and the registry of balancers, which the leader keeps in memory. One thread each.
 */
package sablehinge.controlplane.state;
