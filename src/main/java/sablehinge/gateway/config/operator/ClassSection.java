package sablehinge.gateway.config.operator;

import java.util.List;
import java.util.Map;
import sablehinge.gateway.config.operator.OperatorConfig.ClassPart;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Repeat;

/** Reads one request class of an operator file. */
final class ClassSection {

    private static final Map<String, Repeat> EFFECTS =
            Map.of("safe", Repeat.IDEMPOTENT, "keyed", Repeat.DEDUPLICATED, "unsafe", Repeat.AT_MOST_ONCE);
    private static final Map<String, Group> GROUPS = Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL);

    private ClassSection() {}

    static ClassPart read(Section s, List<String> zones, List<String> kinds) {
        String name = s.name("name", null);
        Repeat effect = s.choice("effect", Repeat.AT_MOST_ONCE, EFFECTS);
        boolean keyed = effect == Repeat.DEDUPLICATED;
        Group group = s.choice("group", Group.ALL, GROUPS);
        double window = s.duration("window", 0, 1, Section.HOUR_MS);
        for (String key : List.of("group", "window")) {
            if (keyed && !s.has(key)) {
                s.problem(key, "is missing, expected for effect = \"keyed\"");
            } else if (!keyed && s.has(key)) {
                s.problem(key, "goes with effect = \"keyed\" only");
            }
        }
        double aim = s.duration("aim", 1_000, 1, Section.HOUR_MS);
        double deadline = s.duration("deadline", Math.max(2_500, 2.5 * aim), 1, Section.HOUR_MS);
        if (deadline < aim) {
            s.problem("deadline", Section.millis(deadline) + " is shorter than the aim of " + Section.millis(aim));
        }
        return new ClassPart(
                name,
                effect,
                group,
                window,
                aim,
                deadline,
                s.number("worth", 1, 1e-6, 1e6),
                s.number("late-worth", 0.5, 0, 1),
                s.names("zones", zones, "zone"),
                s.names("kinds", kinds, "kind"));
    }
}
