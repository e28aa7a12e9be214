package sablehinge.cli.mesh.operator;

import java.util.List;

/**
 * The outcome of a call to the core.
 *
 * @param answer the clear answer; null if there was none
 * @param answeredBy the address that gave the answer; null if there was none
 * @param mayHaveRun whether the core may have carried out the call without a clear answer
 * @param attempts the last answer or error of each address that was called
 */
record CommandOutcome(HttpCaller.Answer answer, String answeredBy, boolean mayHaveRun, List<String> attempts) {

    /** The core's refusal as an exception; the answer must be clear and not a 2xx. */
    CommandException refusal() {
        CoreError error = CoreError.of(answer);
        return new CommandException(
                CommandException.Exit.REFUSED,
                error.code(),
                error.place(),
                error.message() + " (" + answer.status() + " from " + answeredBy + ")");
    }

    /** The exception for a call without a clear answer. */
    CommandException unclear(String what) {
        return new CommandException(
                CommandException.Exit.UNCLEAR, "NO_CLEAR_ANSWER", "", what + "; " + String.join("; ", attempts));
    }

    boolean isClear() {
        return answer != null;
    }

    boolean isDone() {
        return isClear() && CoreCaller.isSuccess(answer);
    }
}
