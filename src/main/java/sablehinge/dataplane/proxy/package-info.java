/**
 * The protocol-independent proxy between a front end and a transport: it owns the decision module, the timers and the
 * attempts, and gives each request exactly one answer.
 */
package sablehinge.dataplane.proxy;
