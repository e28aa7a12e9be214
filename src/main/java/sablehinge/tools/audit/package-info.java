/** The audit of a test run: evidence recorded by callers and servers as JSON lines, and the check of the rules. */
package sablehinge.tools.audit;
