/** Computes when each logged request is sent and how its client retries. No I/O. */
package sablehinge.tools.replay.schedule;
