/**
 * The proxy between a front and a transport, free of any protocol: owns the decision module, timers and attempts, and
 * gives each request exactly one answer.
 */
package sablehinge.dataplane.proxy;
