package sablehinge.cli.mesh.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import sablehinge.mesh.routing.Configuration;

/**
 * What a configuration changes, by names alone: tenants' keys are never shown.
 *
 * @param limits whether any of them changes
 */
record Differences(Change routes, Change services, Change tenants, boolean limits) {

    /** Names that come, go, or stand for something else. */
    record Change(List<String> added, List<String> changed, List<String> removed) {

        private static <T> Change of(List<T> before, List<T> after, Function<T, String> name) {
            Map<String, T> old = new TreeMap<>();
            before.forEach(one -> old.put(name.apply(one), one));
            Map<String, T> next = new TreeMap<>();
            after.forEach(one -> next.put(name.apply(one), one));
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

        private void show(String what, Shell shell) {
            added.forEach(name -> shell.say("  + " + what + " " + name));
            changed.forEach(name -> shell.say("  ~ " + what + " " + name));
            removed.forEach(name -> shell.say("  - " + what + " " + name));
        }
    }

    /** From one configuration to the next; null is none. */
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

    void show(Shell shell) {
        routes.show("route", shell);
        services.show("service", shell);
        tenants.show("tenant", shell);
        if (limits) {
            shell.say("  ~ limits");
        }
    }
}
