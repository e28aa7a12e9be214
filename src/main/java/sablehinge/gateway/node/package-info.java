/**
 * The platform's balancer as a process: runs frontend, proxy, upstream client and discovery on one event loop, with
 * drain, reload and versions of the configuration.
 */
package sablehinge.gateway.node;
