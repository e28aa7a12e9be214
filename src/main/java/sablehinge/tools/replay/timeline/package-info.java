/** Sorts entries of a log that are out of order or have no time into one timeline. No I/O. */
package sablehinge.tools.replay.timeline;
