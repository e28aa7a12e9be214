package sablehinge.gateway.config.operator;

import sablehinge.gateway.config.operator.OperatorConfig.RecorderPart;

/** Reads the flight recorder settings of an operator file. */
final class RecorderSection {

    /** Limits the heap usage of a dump, which needs about six times the size of the ring. */
    private static final int MAX_MIB = 16;

    private RecorderSection() {}

    static RecorderPart read(Section s) {
        RecorderPart part = new RecorderPart(
                s.number("ring-mib", 1, 1.0 / 16, MAX_MIB),
                s.text("directory", null),
                s.integer("keep", 10, 1, 1_000),
                s.duration("tick", 50, 10, 1_000),
                s.duration("stall", 500, 100, 60_000),
                s.duration("turn", 250, 50, 60_000),
                s.duration("overdue", 1_000, 10, 60_000),
                s.duration("quiet", 5_000, 100, 600_000),
                s.integer("at-rest-kib", 256, 0, 1 << 20));
        if (part.turn() < 2 * part.tick()) {
            s.problem(
                    "turn", Section.millis(part.turn()) + " is less than two ticks of " + Section.millis(part.tick()));
        }
        if (part.stall() < 2 * part.tick()) {
            s.problem(
                    "stall",
                    Section.millis(part.stall()) + " is less than two ticks of " + Section.millis(part.tick()));
        }
        s.reportUnknownKeys();
        return part;
    }
}
