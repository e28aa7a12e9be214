/**
 * Records between processes of the mesh over TCP: length, kind, body; both ends send pings, so that a network partition
 * is detected. All calls on one event loop.
 */
package sablehinge.common.rpc;
