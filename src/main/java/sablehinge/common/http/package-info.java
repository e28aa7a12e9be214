/** The syntax of HTTP/1.1 messages that all readers of responses share. */
package sablehinge.common.http;
