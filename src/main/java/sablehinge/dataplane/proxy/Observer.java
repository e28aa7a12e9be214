package sablehinge.dataplane.proxy;

/** Observes every answer of the proxy, for records and for decisions other than those on single requests. */
public interface Observer {

    /**
     * Called after an answer was passed to its client.
     *
     * @param request the client's name for the request; empty if it has none
     * @param version under which the request arrived
     * @param serviceClass index into the classes of that version
     * @param attempts the number of attempts that the module requested
     * @param elapsed ms since the request arrived
     */
    void answered(String request, Version version, int serviceClass, Answer.Kind kind, int attempts, double elapsed);
}
