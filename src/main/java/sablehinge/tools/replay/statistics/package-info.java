/** Counts over streams in bounded memory: distinct values, top values, rates. */
package sablehinge.tools.replay.statistics;
