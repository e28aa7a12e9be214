/** Binary records of the long polls that sidecars send to the leader and of the updates that answer them. */
package sablehinge.mesh.watch;
