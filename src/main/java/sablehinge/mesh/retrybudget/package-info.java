/**
 * The retry budget of each service over all balancers: claims, grants, and allocation on the leader. The package does
 * no I/O and is used by both planes.
 */
package sablehinge.mesh.retrybudget;
