/** Checks the four rules on recorded evidence. It decides only. */
package sablehinge.tools.audit.judge;
