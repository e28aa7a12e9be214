/**
 * Raft: election with pre-votes, log replication, snapshots, leases and read barriers, changes of voters one at a time.
 * It decides only: no I/O, no clock, no thread; the host is behind {@link sablehinge.controlplane.raft.RaftActions}.
 * Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), and Ongaro's thesis.
 */
package sablehinge.controlplane.raft;
