/**
 * The control node: a Raft replica on MVStore, the operators' API, and while it leads the updates, quotas and retry
 * budgets of the data plane. {@link sablehinge.controlplane.node.QuorumGate} decides for each answer whether the
 * contact with a majority suffices.
 */
package sablehinge.controlplane.node;
