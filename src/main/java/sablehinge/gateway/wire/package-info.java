/** Adapter that runs the decision module as a child process of the simulator. */
package sablehinge.gateway.wire;
