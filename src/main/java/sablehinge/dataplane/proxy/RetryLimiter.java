package sablehinge.dataplane.proxy;

import java.util.function.Consumer;

/** Bounds what a request sends beyond what has reached nobody: where others share the right to do so. */
public interface RetryLimiter {

    /**
     * Takes the right to one more attempt of a request of which another may have reached a server.
     *
     * @param version under which the request arrived
     * @param serviceClass index into its classes
     * @param beside whether another attempt is still out
     * @param then is called once, perhaps before this returns, with what gives the right back, once it is known that
     *     nothing was reached; of null where there is none to be had soon
     */
    void acquire(Version version, int serviceClass, boolean beside, Consumer<Runnable> then);
}
