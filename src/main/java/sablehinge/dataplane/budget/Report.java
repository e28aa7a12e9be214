package sablehinge.dataplane.budget;

/**
 * What comes back with an answer.
 *
 * @param grant what it is about
 * @param spent attempts at the last tier that were made on it so far, 0 and more
 * @param again whether a failure may be retried at the tier above
 */
public record Report(long grant, int spent, boolean again) {}
