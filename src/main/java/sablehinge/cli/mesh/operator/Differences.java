package sablehinge.cli.mesh.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import sablehinge.mesh.routing.Configuration;

/**
 * The differences between two configurations, by name only: tenants' keys are never shown.
 *
 * @param limits whether any limit changes
 */
record Differences(Change routes, Change services, Change tenants, boolean limits) {

    /** The names that are added, changed or removed. */
    record Change(List<String> added, List<String> changed, List<String> removed) {

        private static <T> Change of(List<T> before, List<T> after, Function<T, String> name) {
            Map<String, T> old = new TreeMap<>();
            before.forEach(value -> old.put(name.apply(value), value));
            Map<String, T> next = new TreeMap<>();
            after.forEach(value -> next.put(name.apply(value), value));
            List<String> added = new ArrayList<>();
            List<String> changed = new ArrayList<>();
            next.forEach((key, value) -> {
                if (!old.containsKey(key)) {
                    added.add(key);
                } else if (!value.equals(old.get(key))) {
                    changed.add(key);
                }
            });
            old.keySet().removeAll(next.keySet());
            return new Change(added, changed, List.copyOf(old.keySet()));
        }

        private void show(String kind, CommandContext context) {
            added.forEach(name -> context.printLine("  + " + kind + " " + name));
            changed.forEach(name -> context.printLine("  ~ " + kind + " " + name));
            removed.forEach(name -> context.printLine("  - " + kind + " " + name));
        }
    }

    /** The differences between two configurations; {@code before} is null if there was none. */
    static Differences between(Configuration before, Configuration after) {
        Configuration old = before != null ? before : new Configuration(0, null, List.of(), List.of(), List.of());
        return new Differences(
                Change.of(
                        old.routes(),
                        after.routes(),
                        route -> route.host()
                                + route.prefix()
                                + (route.name().isEmpty() ? "" : " (" + route.name() + ")")),
                Change.of(old.services(), after.services(), Configuration.Service::name),
                Change.of(old.tenants(), after.tenants(), Configuration.Tenant::name),
                !after.limits().equals(old.limits()));
    }

    void show(CommandContext context) {
        routes.show("route", context);
        services.show("service", context);
        tenants.show("tenant", context);
        if (limits) {
            context.printLine("  ~ limits");
        }
    }
}
