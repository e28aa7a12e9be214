/** The configuration file that the platform provides for its balancer. */
package sablehinge.gateway.config;
