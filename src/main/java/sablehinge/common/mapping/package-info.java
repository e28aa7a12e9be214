/**
 * Maps requests of recorded logs to service classes, keys and tenants, by rules of the operator file. Pure functions,
 * no I/O.
 */
package sablehinge.common.mapping;
