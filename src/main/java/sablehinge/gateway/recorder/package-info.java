/** The flight recorder: the latest events of a balancer in memory, alarms, dumps and their evaluation. */
package sablehinge.gateway.recorder;
