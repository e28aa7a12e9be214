package sablehinge.cli.mesh.operator;

import java.util.List;

/**
 * What became of a call to the core.
 *
 * @param answer the clear one; null where there was none
 * @param by who gave it; null where there was none
 * @param maybe whether the core may have carried the call out although its answer was not clear
 * @param tries the last answer or error of each address that was called
 */
record CommandOutcome(HttpCaller.Answer answer, String by, boolean maybe, List<String> tries) {

    /** The error that the core refused with; the call was answered, and not with a 2xx. */
    CommandException refusal() {
        CoreAnswer response = CoreAnswer.of(answer);
        return new CommandException(
                CommandException.Exit.REFUSED,
                response.code(),
                response.place(),
                response.message() + " (" + answer.status() + " from " + by + ")");
    }

    /** Nobody gave a clear answer. */
    CommandException unclear(String what) {
        return new CommandException(
                CommandException.Exit.UNCLEAR, "NO_CLEAR_ANSWER", "", what + "; " + String.join("; ", tries));
    }

    boolean isClear() {
        return answer != null;
    }

    boolean isDone() {
        return isClear() && CoreCaller.isSuccess(answer);
    }
}
