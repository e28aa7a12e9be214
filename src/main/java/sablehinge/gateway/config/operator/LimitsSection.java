package sablehinge.gateway.config.operator;

import sablehinge.policy.LoadBalancer.Limits;

/** Reads the limits of an operator file. */
final class LimitsSection {

    private LimitsSection() {}

    static Limits read(Section s) {
        Limits limits = new Limits(
                s.integer("attempts", 4, 1, 16),
                s.integer("open", 20_000, 1, 1_000_000),
                true,
                s.flag("second-copies", true),
                false,
                false,
                s.flag("retry-after", true),
                s.duration("longest-retry-after", 2_000, 1, Section.HOUR_MS),
                s.duration("connect", 300, 1, 60_000),
                s.duration("idle", 30_000, 100, Section.HOUR_MS),
                1,
                0,
                0);
        s.reportUnknownKeys();
        return limits;
    }
}
