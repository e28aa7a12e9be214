package sablehinge.dataplane.proxy;

/** Sees every answer that core gives; for records and for deciders beside the requests' own. */
public interface Observer {

    /**
     * An answer was handed to its caller.
     *
     * @param request what its caller calls it; empty if it has no name
     * @param version under which the request arrived
     * @param serviceClass index into the classes of that version
     * @param attempts how many were requested
     * @param elapsed ms since the request arrived
     */
    void answered(String request, Version version, int serviceClass, Answer.Kind kind, int attempts, double elapsed);
}
