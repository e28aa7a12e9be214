package sablehinge.mesh.api;

import java.util.function.Consumer;

/**
 * A GET operation without a request body.
 *
 * @param <A> the response
 */
public abstract class Query<A> extends HttpOperation<Query.EmptyRequest, A> {

    /** The empty request; the path alone identifies the query. */
    public record EmptyRequest() {}

    /** Creates a GET operation at a path. */
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

    /** Answers the query. The answer is passed exactly once, possibly later, on the thread of the server. */
    protected abstract void answer(Consumer<A> answer);
}
