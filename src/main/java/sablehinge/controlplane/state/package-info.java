/**
 * The replicated configuration state, and the in-memory registry of balancers on the leader. Each must be used by one
 * thread.
 */
package sablehinge.controlplane.state;
