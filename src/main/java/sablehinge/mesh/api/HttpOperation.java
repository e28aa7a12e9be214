package sablehinge.mesh.api;

/**
 * An operation whose method and path are told once, where it is made.
 *
 * @param <Q> what is asked
 * @param <A> what is answered
 */
public abstract class HttpOperation<Q, A> implements Operation<Q, A> {

    private final String method;
    private final String path;

    /** An operation at a path; one that ends with a slash is followed by a name. */
    protected HttpOperation(String method, String path) {
        this.method = method;
        this.path = path;
    }

    @Override
    public final String method() {
        return method;
    }

    @Override
    public final String path() {
        return path;
    }
}
