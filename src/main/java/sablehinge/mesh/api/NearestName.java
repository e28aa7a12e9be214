package sablehinge.mesh.api;

import java.util.Collection;

/** Finds the known name closest to a mistyped one by edit distance. */
public final class NearestName {

    /** Names are compared up to this length because the cost grows with its square. */
    private static final int MAX_LENGTH = 64;

    private NearestName() {}

    /** The name with the smallest edit distance; null if there are no names. */
    public static String of(String name, Collection<String> names) {
        return of(name, names, Integer.MAX_VALUE - 1);
    }

    /** The name with the smallest edit distance of at most {@code maxDistance}; null if there is none. */
    static String of(String name, Collection<String> names, int maxDistance) {
        String best = null;
        int bestDistance = maxDistance + 1;
        String truncatedName = truncate(name);
        for (String candidate : names) {
            int distance = distance(truncatedName, truncate(candidate));
            if (distance < bestDistance) {
                bestDistance = distance;
                best = candidate;
            }
        }
        return best == null ? null : truncate(best);
    }

    private static String truncate(String text) {
        return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH);
    }

    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int changed = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(changed, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}
