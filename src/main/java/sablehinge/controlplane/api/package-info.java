/** The answers of control nodes to operators, as records whose components are the JSON fields on the wire. */
package sablehinge.controlplane.api;
