package sablehinge.tools.replay.folding;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells logged retries from new demand, so that a replay sends what was requested and not what an incident made of it.
 * Tries come in the order in which they began; each is a first try, or belongs under one that came before.
 *
 * <p>Where a caller names its request (an idempotency key, a request id), the name decides: the same name within a
 * stated time is the same request. Elsewhere a try belongs under an earlier one of the same caller, method and target
 * that had ended badly a short time before. A bad end explains one further try and no more: whoever asks three times
 * after one failure has asked two times anew. A caller that asks again after a success asks honestly.
 *
 * <p>Does harm where a caller polls a target that fails: its next poll is taken for a retry if it comes within the
 * window, which is why that is short.
 */
public final class RetryFolder {

    /**
     * Statuses after which callers try again: no answer, timed out, refused, failed on the way (RFC 9110, 15.5 and
     * 15.6; 425 by RFC 8470; 499 is nginx's for a caller that left).
     */
    private static boolean isBad(int status) {
        return status <= 0
                || status == 408
                || status == 425
                || status == 429
                || status == 499
                || status == 500
                || status >= 502 && status <= 504;
    }

    /**
     * One logged try.
     *
     * @param begun when it began, in ms
     * @param ended when it ended, in ms; equal to {@code begun} where the log doesn't tell
     * @param name its idempotency key or request id; null where it has none
     * @param sure whether another name is another request; an id that a proxy makes for each try is not sure
     * @param caller who sent it, with method and target as the log has them
     * @param status its answer; 0 for none
     */
    public record Try(
            double begun,
            double ended,
            String name,
            boolean sure,
            String caller,
            String method,
            String target,
            int status) {

        /** A try whose name, if it has one, is sure. */
        public Try(double begun, double ended, String name, String caller, String method, String target, int status) {
            this(begun, ended, name, name != null, caller, method, target, status);
        }
    }

    /**
     * How tries are folded.
     *
     * @param nameWindow ms within which the same name is the same request
     * @param window ms after a bad end within which the next try is its retry
     * @param mostKept requests that are remembered at most
     */
    public record Terms(double nameWindow, double window, int mostKept) {

        /** What fits most logs: names for an hour, retries within 10 s, a million requests. */
        public static Terms usual() {
            return new Terms(3.6e6, 10_000, 1_000_000);
        }
    }

    /** A first try, and until when something may belong under it. */
    private static final class Named {
        final long first;
        double last;

        Named(long first, double last) {
            this.first = first;
            this.last = last;
        }
    }

    /** A bad end that no later try has explained yet. */
    private record BadEnd(long first, double at) {}

    private final Terms terms;
    private final LinkedHashMap<String, Named> names = new LinkedHashMap<>();
    /** Bad ends by caller, method and target, the oldest first; lists are dropped when empty. */
    private final LinkedHashMap<String, ArrayDeque<BadEnd>> badEnds = new LinkedHashMap<>();

    private int badEndCount;
    private long tries;
    private long folded;
    private long forgotten;

    /** A folder with nothing seen yet. */
    public RetryFolder(Terms terms) {
        this.terms = terms;
    }

    /**
     * Takes the next try.
     *
     * @return the number of the first try that it belongs under, counted from 0 over all tries; its own number if it is
     *     a first one
     */
    public long take(Try one) {
        long number = tries++;
        expire(one.begun());
        long first = one.name() == null ? number : byName(one, number);
        if (first == number && !one.sure()) {
            first = byPlace(one, number);
        }
        if (first != number) {
            folded++;
        }
        if (isBad(one.status()) && !one.sure()) {
            badEnds.computeIfAbsent(place(one), key -> new ArrayDeque<>()).addLast(new BadEnd(first, one.ended()));
            badEndCount++;
        }
        bound();
        return first;
    }

    private long byName(Try one, long number) {
        Named named = names.remove(one.name());
        if (named == null || one.begun() - named.last > terms.nameWindow()) {
            named = new Named(number, one.begun());
        }
        named.last = one.begun();
        // At the end again: the names are in the order of their last tries.
        names.put(one.name(), named);
        return named.first;
    }

    private long byPlace(Try one, long number) {
        String place = place(one);
        ArrayDeque<BadEnd> ends = badEnds.get(place);
        if (ends == null) {
            return number;
        }
        BadEnd explained = null;
        for (BadEnd end : ends) {
            // The newest that had ended: what is still under way can't have been given up.
            if (end.at() <= one.begun() && one.begun() - end.at() <= terms.window()) {
                explained = end;
            }
        }
        if (explained == null) {
            return number;
        }
        ends.remove(explained);
        badEndCount--;
        if (ends.isEmpty()) {
            badEnds.remove(place);
        }
        return explained.first();
    }

    private static String place(Try one) {
        // A character that no part of a request line may hold keeps them apart.
        return one.caller() + '\n' + one.method() + '\n' + one.target();
    }

    private void expire(double now) {
        while (!names.isEmpty()) {
            Map.Entry<String, Named> oldest = names.entrySet().iterator().next();
            if (now - oldest.getValue().last <= terms.nameWindow()) {
                break;
            }
            names.remove(oldest.getKey());
        }
        while (!badEnds.isEmpty()) {
            Map.Entry<String, ArrayDeque<BadEnd>> oldest =
                    badEnds.entrySet().iterator().next();
            if (now - oldest.getValue().peekLast().at() <= terms.window()) {
                break;
            }
            badEndCount -= oldest.getValue().size();
            badEnds.remove(oldest.getKey());
        }
    }

    /** Forgets the oldest where more is remembered than may be: their retries then count as new demand. */
    private void bound() {
        while (names.size() > terms.mostKept()) {
            names.remove(names.keySet().iterator().next());
            forgotten++;
        }
        while (badEndCount > terms.mostKept()) {
            String oldest = badEnds.keySet().iterator().next();
            badEndCount -= badEnds.remove(oldest).size();
            forgotten++;
        }
    }

    /** Tries that belonged under another. */
    public long folded() {
        return folded;
    }

    /** Requests that had to be forgotten before their time, whose retries may count as new demand. */
    public long forgotten() {
        return forgotten;
    }

    /** What is remembered at present. */
    int remembered() {
        return names.size() + badEndCount;
    }
}
