package sablehinge.tools.standin.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Records the traffic seen by the clients and upstreams of a small mesh. Times are in ms of one monotonic clock. */
public final class TrafficLog {

    /** The kinds of requests, by whether and how they may be retried. */
    public enum Kind {
        SAFE("GET"),
        UNSAFE("POST"),
        UPLOAD("PUT");

        private final String method;

        Kind(String method) {
            this.method = method;
        }

        /** Returns the HTTP method of the requests of this kind. */
        String method() {
            return method;
        }
    }

    /**
     * An attempt that a client sent.
     *
     * @param depot the service on whose machine the client runs
     * @param prefix the path prefix of the route
     * @param sum the checksum of the body
     */
    public record Sent(
            String id, String depot, Kind kind, String method, String uri, String prefix, long sum, double at) {}

    /**
     * The response to an attempt.
     *
     * @param requestId the id of the attempt
     * @param status the status code; 0 if the connection ended without a response
     * @param id the attempt id in the response, or null
     * @param stamp the stamp of the run in the response, or null
     */
    public record Answered(String requestId, int status, String id, String stamp, long sum, double at) {}

    /** A request that an upstream started to run; {@code answer} is the checksum of the response body. */
    public record Run(
            String id,
            String service,
            String upstream,
            String method,
            String uri,
            long sum,
            String caller,
            String sender,
            String stamp,
            long answer,
            double at) {}

    /** The completion of a run in an upstream, whether or not the response could be written. */
    public record Finished(String stamp, double at) {}

    /** A sidecar's acknowledgement of an upstream's shutdown; {@code gone} marks the final sign-off. */
    public record Left(String upstream, boolean gone, double at) {}

    private final ConcurrentHashMap<String, Sent> sent = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Answered> answered = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private final ConcurrentHashMap<String, Finished> finished = new ConcurrentHashMap<>();
    private final Set<String> abortedRuns = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<Left> left = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> strays = new ConcurrentLinkedQueue<>();

    /** Returns the time of a monotonic clock, in ms. */
    public static double now() {
        return System.nanoTime() / 1e6;
    }

    /** Records an attempt that a client sends. */
    public void sent(Sent request) {
        sent.put(request.id(), request);
    }

    /** Records a response, or the end of a connection without a response. */
    public void answered(Answered answer) {
        answered.add(answer);
    }

    /** Records that an upstream starts to run a request. */
    public void ran(Run run) {
        runs.add(run);
    }

    /** Records that an upstream has completed a run. */
    public void finished(Finished run) {
        finished.put(run.stamp(), run);
    }

    /** Records that the shutdown of an upstream was acknowledged. */
    public void left(Left acknowledgement) {
        left.add(acknowledgement);
    }

    /** Records received bytes that belong to no request. */
    public void stray(String description) {
        strays.add(description);
    }

    List<Sent> sent() {
        return new ArrayList<>(sent.values());
    }

    List<Answered> answered() {
        return new ArrayList<>(answered);
    }

    List<Run> runs() {
        return new ArrayList<>(runs);
    }

    /** Returns when the run with a stamp was completed, in ms; NaN if it was not. */
    double finishedAt(String stamp) {
        Finished run = finished.get(stamp);
        return run == null ? Double.NaN : run.at();
    }

    /** Records that an upstream closes the connection of a run instead of sending a response. */
    void aborted(String stamp) {
        abortedRuns.add(stamp);
    }

    /** Returns whether the upstream deliberately ended the run with a stamp without a response. */
    boolean isAborted(String stamp) {
        return abortedRuns.contains(stamp);
    }

    List<Left> left() {
        return new ArrayList<>(left);
    }

    List<String> strays() {
        return new ArrayList<>(strays);
    }
}
