/** The operator interface of the platform's balancer: HTTP/1.1 with JSON on a Unix socket or a loopback port. */
package sablehinge.gateway.admin;
