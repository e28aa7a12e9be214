package sablehinge.cli.mesh.operator;

/** A clock that can be waited by. */
public interface TimeText {

    /** A steady clock, ms. */
    long now();

    /** Waits. */
    void pause(long ms) throws InterruptedException;
}
