/** The platform's configuration file of its balancer. */
package sablehinge.gateway.config;
