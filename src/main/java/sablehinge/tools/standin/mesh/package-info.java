/**
 * A small mesh on loopback: stand-in upstreams, callers and an operator by PROTOCOL, the daemons as child processes,
 * and a judge of what was seen. It uses nothing of the daemons but their command.
 */
package sablehinge.tools.standin.mesh;
