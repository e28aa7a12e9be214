/** Checks the four rules against recorded evidence; does no I/O. */
package sablehinge.tools.audit.judge;
