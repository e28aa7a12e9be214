package sablehinge.policy;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

/** A version of the settings with the servers listed under it; requests keep that under which they came. */
final class View {

    final LoadBalancer.Settings settings;
    final ClassRecord[] classes;
    /** The servers listed under it, by id, and those of them that are ready now under any. */
    Set<Long> listed;

    List<Server> ready = List.of();

    View(LoadBalancer.Settings settings, ClassRecord[] classes, Set<Long> listed) {
        this.settings = settings;
        this.classes = classes;
        this.listed = listed;
    }

    /** What was seen of a class of that name; null if it has none. */
    ClassRecord named(String name) {
        return Arrays.stream(classes)
                .filter(c -> c.type.name().equals(name))
                .findFirst()
                .orElse(null);
    }
}
