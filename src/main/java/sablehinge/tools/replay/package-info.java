/** Reads recorded traffic (HAR, access logs) in the order of time, and inspects it. */
package sablehinge.tools.replay;
