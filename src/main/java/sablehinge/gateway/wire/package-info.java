/** The simulator's wire: the decision module as a child process. */
package sablehinge.gateway.wire;
