/** The commands of the group {@code mesh}: a small mesh on loopback, its settings and stand-in upstreams. */
package sablehinge.cli.mesh;
