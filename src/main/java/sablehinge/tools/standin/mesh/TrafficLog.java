package sablehinge.tools.standin.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What callers and upstreams of a small mesh have seen; times are in ms of one steady clock. */
public final class TrafficLog {

    /** What may be repeated of a request. */
    public enum Kind {
        SAFE("GET"),
        UNSAFE("POST"),
        UPLOAD("PUT");

        private final String method;

        Kind(String method) {
            this.method = method;
        }

        /** The method of its requests. */
        String method() {
            return method;
        }
    }

    /**
     * A try that a caller sent.
     *
     * @param depot the service on whose machine it began
     * @param prefix of the route that it is for
     * @param sum of its body
     */
    public record Sent(
            String id, String depot, Kind kind, String method, String uri, String prefix, long sum, double at) {}

    /**
     * What came back for a try.
     *
     * @param status 0 where the connection ended without an answer
     * @param id that the answer names, or null
     * @param stamp in it, or null
     */
    public record Answered(String of, int status, String id, String stamp, long sum, double at) {}

    /** A request that an upstream began to work on; {@code answer} is the sum of what it answers. */
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

    /** That an upstream's work on a request was done, whether or not its answer could be written. */
    public record Finished(String stamp, double at) {}

    /** That a machine acknowledged an upstream's call, {@code gone} when it is the last one. */
    public record Left(String upstream, boolean gone, double at) {}

    private final ConcurrentHashMap<String, Sent> sent = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Answered> answered = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private final ConcurrentHashMap<String, Finished> finished = new ConcurrentHashMap<>();
    private final Set<String> brokenOff = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<Left> left = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> strays = new ConcurrentLinkedQueue<>();

    /** The time, in ms. */
    public static double now() {
        return System.nanoTime() / 1e6;
    }

    /** A caller sends a try. */
    public void sent(Sent one) {
        sent.put(one.id(), one);
    }

    /** A caller has an answer, or the end of its connection. */
    public void answered(Answered one) {
        answered.add(one);
    }

    /** An upstream begins to work. */
    public void ran(Run one) {
        runs.add(one);
    }

    /** An upstream has done its work. */
    public void finished(Finished one) {
        finished.put(one.stamp(), one);
    }

    /** An upstream's leaving was acknowledged. */
    public void left(Left one) {
        left.add(one);
    }

    /** Bytes came that belong to nothing; the words say what. */
    public void stray(String words) {
        strays.add(words);
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

    /** When the work with that stamp was done, ms; NaN where it was not. */
    double finishedAt(String stamp) {
        Finished one = finished.get(stamp);
        return one == null ? Double.NaN : one.at();
    }

    /** An upstream closes the connection under a run, with that stamp, in place of an answer. */
    void brokeOff(String stamp) {
        brokenOff.add(stamp);
    }

    /** Whether the run with that stamp ended without an answer by its upstream's will. */
    boolean hasBrokenOff(String stamp) {
        return brokenOff.contains(stamp);
    }

    List<Left> left() {
        return new ArrayList<>(left);
    }

    List<String> strays() {
        return new ArrayList<>(strays);
    }
}
