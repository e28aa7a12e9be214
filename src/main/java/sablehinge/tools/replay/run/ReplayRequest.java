package sablehinge.tools.replay.run;

import sablehinge.tools.replay.schedule.ReplayClient;

/** A request that is replayed, over all its attempts. */
final class ReplayRequest {

    final Planned planned;
    final ReplayClient client;
    /** Its idempotency key; empty where it has none. */
    final String key;
    /** The name of its first attempt; null before that. */
    String first;

    ReplayRequest(Planned planned, ReplayClient client, String key) {
        this.planned = planned;
        this.client = client;
        this.key = key;
    }
}
