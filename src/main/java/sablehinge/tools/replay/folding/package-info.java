/** Folds the retries of clients in a log into one request each. No I/O. */
package sablehinge.tools.replay.folding;
