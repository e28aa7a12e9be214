package sablehinge.mesh.api;

import java.util.Collection;

/** The name that a mistyped one was probably meant to be. */
public final class NearestName {

    /** Longer ones are not compared: the work grows with the square. */
    private static final int MAX_LENGTH = 64;

    private NearestName() {}

    /** The name with the fewest letters to change, add or drop; null where there is none. */
    public static String of(String given, Collection<String> names) {
        return of(given, names, Integer.MAX_VALUE - 1);
    }

    /** Likewise, among those with at most so many letters to change. */
    static String of(String given, Collection<String> names, int most) {
        String best = null;
        int least = most + 1;
        String from = cut(given);
        for (String name : names) {
            int steps = steps(from, cut(name));
            if (steps < least) {
                least = steps;
                best = name;
            }
        }
        return best == null ? null : cut(best);
    }

    private static String cut(String text) {
        return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH);
    }

    private static int steps(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int changed = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                corner = row[j];
                row[j] = Math.min(changed, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}
