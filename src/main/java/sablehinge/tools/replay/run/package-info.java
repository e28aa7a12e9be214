/** Sends recorded traffic to a balancer, open loop, and reports whether the figures count. */
package sablehinge.tools.replay.run;
