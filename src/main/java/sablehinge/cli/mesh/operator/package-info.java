/**
 * The client of a mesh's operators: status, nodes, singleton roles and configurations, over the control nodes' HTTP
 * API.
 */
package sablehinge.cli.mesh.operator;
