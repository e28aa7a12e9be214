/** The configuration as data, and the routing table: host and longest prefix, splits, keys. Immutable. */
package sablehinge.mesh.routing;
