package sablehinge.controlplane.raft;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A number for the state of objects of ours, by all of their fields. Two states with the same number are taken for one;
 * dice, terms and the way back to the host are no part of a state.
 */
final class Fingerprint {

    private static final long PRIME = 0x100000001b3L;
    private static final Set<Class<?>> NO_PART =
            Set.of(Random.class, RaftActions.class, SimulatedCluster.class, RaftConfig.class);
    private static final Map<Class<?>, List<Field>> FIELDS = new ConcurrentHashMap<>();

    private long sum = 0xcbf29ce484222325L;
    /** Parts of a replica that refer to each other; each is added once. */
    private final Set<Object> visited = Collections.newSetFromMap(new IdentityHashMap<>());

    long sum() {
        return sum;
    }

    private void number(long value) {
        sum = (sum ^ value) * PRIME;
        sum ^= sum >>> Integer.SIZE;
    }

    Fingerprint add(Object value) {
        if (value == null) {
            number(0);
        } else if (value instanceof Enum<?> one) {
            number(one.ordinal() + 1);
        } else if (value instanceof Number || value instanceof String || value instanceof Boolean) {
            number(value.hashCode());
        } else if (value instanceof byte[] bytes) {
            number(Arrays.hashCode(bytes));
        } else if (value instanceof double[] numbers) {
            number(Arrays.hashCode(numbers));
        } else if (value instanceof long[] numbers) {
            number(Arrays.hashCode(numbers));
        } else if (value instanceof Collection<?> all) {
            number(all.size());
            all.forEach(this::add);
        } else if (value instanceof Map<?, ?> map) {
            number(map.size());
            map.forEach((key, one) -> add(key).add(one));
        } else if (value instanceof Record || visited.add(value)) {
            for (Field field : FIELDS.computeIfAbsent(value.getClass(), Fingerprint::fields)) {
                try {
                    add(field.get(value));
                } catch (IllegalAccessException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
        return this;
    }

    private static List<Field> fields(Class<?> of) {
        if (!of.getName().startsWith("sablehinge.")) {
            throw new IllegalArgumentException("the state of " + of + " is not known");
        }
        List<Field> fields = new ArrayList<>();
        for (Field field : of.getDeclaredFields()) {
            boolean part = !Modifier.isStatic(field.getModifiers())
                    && !field.isSynthetic()
                    && !NO_PART.contains(field.getType());
            if (part) {
                field.setAccessible(true);
                fields.add(field);
            }
        }
        return fields;
    }
}
