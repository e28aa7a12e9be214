/** Stand-ins for servers, discovery and callers by the platform's PROTOCOL. */
package sablehinge.tools.standin;
