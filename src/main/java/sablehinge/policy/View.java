package sablehinge.policy;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

/** A version of the settings with the servers listed in it. A request uses the version that was active on arrival. */
final class View {

    final LoadBalancer.Settings settings;
    final ClassRecord[] classes;
    /** Ids of the servers listed in this version, and those of these servers that are ready now. */
    Set<Long> listedIds;

    List<Server> ready = List.of();

    View(LoadBalancer.Settings settings, ClassRecord[] classes, Set<Long> listedIds) {
        this.settings = settings;
        this.classes = classes;
        this.listedIds = listedIds;
    }

    /** The record of the class with this name; null if there is none. */
    ClassRecord classNamed(String name) {
        return Arrays.stream(classes)
                .filter(c -> c.type.name().equals(name))
                .findFirst()
                .orElse(null);
    }
}
