package sablehinge.tools.replay.run;

/**
 * A request that is to be sent.
 *
 * @param due ns of the system's monotonic clock
 * @param target path and query, whose first part is the class
 * @param key empty for none; likewise the tenant
 * @param deadline ms
 */
record Planned(
        long due,
        String serviceClass,
        ClassPlan plan,
        String target,
        String key,
        String tenant,
        double deadline,
        int body) {}
