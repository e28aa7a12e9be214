/**
 * The command line: starts the daemons of the mesh and the platform's balancer, and implements the operators' commands.
 * The platform's {@code serve} loads none of the operators' commands.
 */
package sablehinge.cli;
