/**
 * HTTP calls as pairs of request and response types, and the reading and checking of configurations. Shared by control
 * plane and data plane.
 */
package sablehinge.mesh.api;
