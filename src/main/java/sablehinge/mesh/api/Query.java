package sablehinge.mesh.api;

import java.util.function.Consumer;

/**
 * An operation that asks by its path alone.
 *
 * @param <A> the response
 */
public abstract class Query<A> extends HttpOperation<Query.EmptyRequest, A> {

    /** The question, which its path tells. */
    public record EmptyRequest() {}

    /** A GET at a path. */
    protected Query(String path) {
        super("GET", path);
    }

    @Override
    public final EmptyRequest read(ApiRequest request) {
        return new EmptyRequest();
    }

    @Override
    public final void execute(EmptyRequest call, Consumer<A> answer) {
        answer(answer);
    }

    /** Answers; the answer may come later, once, on the thread of the door. */
    protected abstract void answer(Consumer<A> answer);
}
