package sablehinge.mesh.api;

import java.util.function.Consumer;

/**
 * One call that upstreams, operators or the platform make: request and response are a pair of types, and an
 * {@link ApiServer} serves all of them alike.
 *
 * @param <Q> the request
 * @param <A> the response
 */
public interface Operation<Q, A> {

    /** The method of the call. */
    String method();

    /** The path of the call; one that ends with a slash is followed by a name. */
    String path();

    /** Reads a call; throws {@link CallException} where it can't be read. */
    Q read(ApiRequest request);

    /** Executes it; the response may come later, once, on the thread of the server. */
    void execute(Q call, Consumer<A> answer);

    /** Words the answer. */
    ApiResponse write(A answer);
}
