/** Admission beside an upstream: slots, a short queue, the upstream's incarnations and its drain. It decides only. */
package sablehinge.dataplane.admission;
