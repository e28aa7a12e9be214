/**
 * Records between processes of the mesh over TCP: length, kind, body; pings both ways, so that a partition is noticed.
 * All calls on one event loop.
 */
package sablehinge.common.rpc;
