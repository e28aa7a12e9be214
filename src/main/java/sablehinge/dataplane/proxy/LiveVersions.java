package sablehinge.dataplane.proxy;

import java.util.HashMap;
import java.util.Map;

/** The versions of the configuration that are in use: by new requests, or by requests that arrived under them. */
final class LiveVersions {

    private static final class Entry {
        final Version version;
        /** Requests that arrived under it and are not forgotten. */
        int requests;
        /** Whether no request will arrive under it again. */
        boolean released;

        Entry(Version version) {
            this.version = version;
        }
    }

    /** By the version's number. */
    private final Map<Integer, Entry> entries = new HashMap<>();

    /** Requests may arrive under a version, perhaps again. */
    void adopt(Version version) {
        entries.computeIfAbsent(version.number(), number -> new Entry(version)).released = false;
    }

    /** No request will arrive under a version again. */
    void release(int number) {
        Entry entry = entries.get(number);
        if (entry != null) {
            entry.released = true;
        }
    }

    void requestBegan(int number) {
        entries.get(number).requests++;
    }

    void requestEnded(int number) {
        entries.get(number).requests--;
    }

    /** Drops a released version with its last request; returns it, or null where it is still in use. */
    Version removeIfUnused(int number, Version current) {
        Entry entry = entries.get(number);
        if (entry == null || !entry.released || entry.requests > 0 || entry.version == current) {
            return null;
        }
        entries.remove(number);
        return entry.version;
    }

    int size() {
        return entries.size();
    }
}
