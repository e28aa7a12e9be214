/**
 * Raft: election with pre-votes, log replication, snapshots, leases, read barriers, and membership changes of one voter
 * at a time. The package has no I/O, clock or threads; the host provides them through
 * {@link sablehinge.controlplane.raft.RaftActions}. Sources: Ongaro and Ousterhout, "In Search of an Understandable
 * Consensus Algorithm" (2014), and Ongaro's thesis.
 */
package sablehinge.controlplane.raft;
