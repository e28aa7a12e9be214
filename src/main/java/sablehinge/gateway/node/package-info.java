/**
 * The platform's balancer as a process: puts front, proxy, transport and discovery together on one loop; drain, reload,
 * versions.
 */
package sablehinge.gateway.node;
