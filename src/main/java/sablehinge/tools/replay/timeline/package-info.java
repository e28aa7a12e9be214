/** Sorts entries of a log that are out of order, or without a time, into one line of time. It decides only. */
package sablehinge.tools.replay.timeline;
