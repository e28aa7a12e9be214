package sablehinge.mesh.api;

/**
 * An operation with a fixed method and path.
 *
 * @param <Q> the request
 * @param <A> the response
 */
public abstract class HttpOperation<Q, A> implements Operation<Q, A> {

    private final String method;
    private final String path;

    /** Creates an operation at a path. A path that ends with a slash is followed by a name. */
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
