/** Budgets of attempts and time over a chain of services, loops, and load shedding by value. It decides only. */
package sablehinge.dataplane.budget;
