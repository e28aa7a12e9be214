/**
 * The control node: a Raft replica with an MVStore log, the operator API, and, while the node is the leader, the
 * updates, quotas and retry budgets for the data plane. {@link sablehinge.controlplane.node.QuorumGate} decides for
 * each answer whether the node's contact with a majority suffices.
 */
package sablehinge.controlplane.node;
