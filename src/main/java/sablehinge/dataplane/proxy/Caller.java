package sablehinge.dataplane.proxy;

/** The client side of a request, which waits for its answer. */
public interface Caller {

    /** Receives the answer; called at most once, on the thread that owns the proxy. */
    void answer(Answer answer);

    /** The client's name for its request; empty if it has none. Read before the answer is passed. */
    default String requestName() {
        return "";
    }
}
