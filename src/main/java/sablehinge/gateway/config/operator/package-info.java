/**
 * The operator file, which configures a balancer that runs outside the platform. Each table has a reader class and a
 * record; each error has its file, line and key.
 */
package sablehinge.gateway.config.operator;
