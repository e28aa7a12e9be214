/** The flight recorder: the last events of a balancer in memory, alarms, dumps and what is read from them. */
package sablehinge.gateway.recorder;
