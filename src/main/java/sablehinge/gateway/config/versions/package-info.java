/** Versions of the operator file on disk; a write is complete or has not happened. */
package sablehinge.gateway.config.versions;
