/** Folds the retries that clients made in a log into one request each. It decides only. */
package sablehinge.tools.replay.folding;
