package sablehinge.dataplane.proxy;

import java.util.function.Consumer;

/**
 * Limits the further attempts of requests of which an earlier attempt may have reached a server, where several proxies
 * share that limit.
 */
public interface RetryLimiter {

    /**
     * Acquires a permit for one more attempt of a request of which an earlier attempt may have reached a server.
     *
     * @param version under which the request arrived
     * @param serviceClass index into its classes
     * @param concurrent whether another attempt of the request is still in flight
     * @param callback called once, perhaps before this method returns: with an action that returns the permit, to be
     *     run if the attempt turns out to have reached no server, or with null if no permit is available soon
     */
    void acquire(Version version, int serviceClass, boolean concurrent, Consumer<Runnable> callback);
}
