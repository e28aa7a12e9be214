/** The audit of a rehearsal: records of what callers and servers saw, as lines of JSON, and their judgement. */
package sablehinge.tools.audit;
