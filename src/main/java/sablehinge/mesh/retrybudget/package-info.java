/**
 * The retry budget of each service over all balancers: claims, grants, allocation on the leader. It decides only; both
 * planes use it.
 */
package sablehinge.mesh.retrybudget;
