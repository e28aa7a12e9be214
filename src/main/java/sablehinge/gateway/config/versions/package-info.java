/** Durable versions of the operator file; each write is atomic. */
package sablehinge.gateway.config.versions;
