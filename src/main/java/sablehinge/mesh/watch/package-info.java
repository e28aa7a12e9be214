/** Long polls of sidecars to the leader and the updates that answer them, as records in binary form. */
package sablehinge.mesh.watch;
