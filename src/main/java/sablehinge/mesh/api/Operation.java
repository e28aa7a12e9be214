package sablehinge.mesh.api;

import java.util.function.Consumer;

/**
 * A call made by upstreams, operators or the platform, with a request type and a response type. An {@link ApiServer}
 * serves all operations in the same way.
 *
 * @param <Q> the request
 * @param <A> the response
 */
public interface Operation<Q, A> {

    /** The HTTP method of the call. */
    String method();

    /** The path of the call. A path that ends with a slash is followed by a name. */
    String path();

    /** Decodes a call; throws {@link CallException} if it is malformed. */
    Q read(ApiRequest request);

    /** Executes the call. The answer is passed exactly once, possibly later, on the thread of the server. */
    void execute(Q call, Consumer<A> answer);

    /** Encodes the answer. */
    ApiResponse write(A answer);
}
