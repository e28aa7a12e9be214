/**
 * Event loops, their clock and their timers. A loop here closes its sockets when it ends, which Netty's own may not.
 */
package sablehinge.common.eventloop;
