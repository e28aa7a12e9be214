/** The platform's discovery: roster, watch, and upstreams that operators suspended. */
package sablehinge.gateway.discovery;
