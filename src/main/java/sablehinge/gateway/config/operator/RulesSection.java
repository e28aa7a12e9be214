package sablehinge.gateway.config.operator;

import sablehinge.policy.LoadBalancer.Rules;

/** Reads the rules of an operator file that servers and clients follow. */
final class RulesSection {

    /** Informational only; not used by any decision of this program. */
    private static final double FALL_AFTER_MS = 1_500;

    private RulesSection() {}

    static Rules read(Section s) {
        Rules rules = new Rules(
                s.duration("answer-grace", 20, 0, 1_000),
                s.duration("drain-grace", 2_000, 0, 60_000),
                s.duration("ask-every", 2_000, 100, Section.HOUR_MS),
                s.number("start-capacity", 0.13, 0.01, 1),
                s.duration("warm-up", 24_000, 0, Section.HOUR_MS),
                s.number("fall-multiple", 3, 1, 100),
                FALL_AFTER_MS,
                0);
        s.reportUnknownKeys();
        return rules;
    }
}
