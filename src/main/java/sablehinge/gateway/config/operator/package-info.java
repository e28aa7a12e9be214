/**
 * The operator file: a balancer outside the platform. Each section beside its record; every error has file, line and
 * key.
 */
package sablehinge.gateway.config.operator;
