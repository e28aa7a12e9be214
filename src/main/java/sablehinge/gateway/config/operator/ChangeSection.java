package sablehinge.gateway.config.operator;

import sablehinge.gateway.config.operator.OperatorConfig.ChangePart;

/** Reads the criteria by which a change of the configuration is confirmed or reverted. */
final class ChangeSection {

    private ChangeSection() {}

    static ChangePart read(Section s) {
        ChangePart change = new ChangePart(
                s.duration("confirm-within", 30_000, 1_000, Section.HOUR_MS),
                s.duration("ready-within", 5_000, 10, 600_000),
                s.integer("ready-least", 1, 0, OperatorFile.MAX_ITEMS),
                s.number("failed-rise", 0.1, 0.001, 1),
                s.number("refused-rise", 0.3, 0.001, 1),
                s.integer("least-count", 100, 10, 1_000_000));
        s.reportUnknownKeys();
        return change;
    }
}
