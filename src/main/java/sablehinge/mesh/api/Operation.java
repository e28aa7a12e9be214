package sablehinge.mesh.api;

import java.util.function.Consumer;

/**
 * One call that upstreams, operators or the platform make: what is asked and what is answered are a pair of types, and
 * a {@link ApiServer} carries all of them alike.
 *
 * @param <Q> what is asked
 * @param <A> what is answered
 */
public interface Operation<Q, A> {

    /** The method of the call. */
    String method();

    /** The path of the call; one that ends with a slash is followed by a name. */
    String path();

    /** Reads a call; throws {@link CallException} where it can't be read. */
    Q read(ApiRequest request);

    /** Carries it out; the answer may come later, once, on the thread of the door. */
    void execute(Q call, Consumer<A> answer);

    /** Words the answer. */
    ApiResponse write(A answer);
}
