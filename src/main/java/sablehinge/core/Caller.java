package sablehinge.core;

/** Who waits for the answer to a request. */
public interface Caller {

    /** Takes the answer; called once at most, on the thread that owns the core. */
    void answer(Answer answer);
}
