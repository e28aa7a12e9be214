/**
 * A small mesh on loopback: stand-in upstreams, clients and an operator as specified in PROTOCOL, the daemons as child
 * processes, and a check of the recorded traffic. It depends on the daemons only through their command.
 */
package sablehinge.tools.standin.mesh;
