/**
 * The platform's balancer as a process: combines front, proxy, transport and discovery on one loop; drain, reload,
 * versions.
 */
package sablehinge.gateway.node;
