package sablehinge.dataplane.budget;

/**
 * The report of attempts that is sent back with an answer.
 *
 * @param grant the id of the grant
 * @param spent number of attempts at the last tier made on the grant so far, 0 or more
 * @param retryable whether a failure may be retried at the tier above
 */
public record Report(long grant, int spent, boolean retryable) {}
