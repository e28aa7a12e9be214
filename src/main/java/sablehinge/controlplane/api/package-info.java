/** What control nodes answer to operators, as records; their components are the fields of the JSON on the wire. */
package sablehinge.controlplane.api;
