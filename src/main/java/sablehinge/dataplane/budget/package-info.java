/**
 * Attempt and time budgets over a chain of services, loop detection, and load shedding by value. The package does no
 * I/O.
 */
package sablehinge.dataplane.budget;
