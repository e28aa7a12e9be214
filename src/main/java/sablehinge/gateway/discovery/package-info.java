/** The platform's discovery: list, watch, and upstreams that operators took out. */
package sablehinge.gateway.discovery;
