package sablehinge.dataplane.proxy;

/** Who waits for the answer to a request. */
public interface Caller {

    /** Takes the answer; called once at most, on the thread that owns the core. */
    void answer(Answer answer);

    /** What the caller calls its request; empty if it has no name for it. Read before the answer. */
    default String requestName() {
        return "";
    }
}
