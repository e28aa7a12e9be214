/**
 * Structured logging: Logback set up by code, lines as text, JSON or key=value pairs, bounded in number. Alerts go by
 * the field {@code event}, which stays when messages change.
 */
package sablehinge.common.logging;
