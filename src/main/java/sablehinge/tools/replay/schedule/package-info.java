/** When each recorded request is sent, and how a client of it retries. It decides only. */
package sablehinge.tools.replay.schedule;
