/** The immutable configuration and the routing table: hosts, longest prefixes, splits and keys. */
package sablehinge.mesh.routing;
