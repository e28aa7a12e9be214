package sablehinge.dataplane.proxy;

import java.util.HashMap;
import java.util.Map;

/** The configuration versions in use, either by new requests or by requests that arrived under them. */
final class LiveVersions {

    private static final class Entry {
        final Version version;
        /** Requests that arrived under this version and are not removed yet. */
        int requests;
        /** Whether no further request will arrive under this version. */
        boolean released;

        Entry(Version version) {
            this.version = version;
        }
    }

    /** Keyed by version number. */
    private final Map<Integer, Entry> entries = new HashMap<>();

    /** Lets requests arrive under a version, possibly one that was released before. */
    void adopt(Version version) {
        entries.computeIfAbsent(version.number(), number -> new Entry(version)).released = false;
    }

    /** Marks a version under which no further request will arrive. */
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

    /** Removes a released version that has no requests left; returns it, or null if it is still in use. */
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
