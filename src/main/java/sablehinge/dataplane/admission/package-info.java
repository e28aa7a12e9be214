/**
 * Admission control for the local upstream: slots, a short queue, the upstream's incarnations and its drain. The
 * package does no I/O.
 */
package sablehinge.dataplane.admission;
