/**
 * Structured logging: Logback is set up by code, writes lines as text, JSON or key=value pairs, and limits their
 * number. Alerts match the field {@code event}, which stays when messages change.
 */
package sablehinge.common.logging;
