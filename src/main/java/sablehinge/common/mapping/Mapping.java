package sablehinge.common.mapping;

import java.util.List;

/**
 * Maps logged requests to balancer requests by the first rule that matches. Without rules, the first segment of the
 * path is the class and the second the key.
 */
public final class Mapping {

    /** Path segments that a shape shows. */
    private static final int MAX_SEGMENTS = 6;

    private static final int MAX_SEGMENT_CHARS = 24;

    private final List<Rule> rules;

    /** Creates a mapping from its rules, in their order. */
    public Mapping(List<Rule> rules) {
        this.rules = List.copyOf(rules);
    }

    /** Maps a request; null if no rule matches. */
    public MappedRequest map(RequestAttributes request) {
        if (rules.isEmpty()) {
            return bySegments(request.target());
        }
        for (Rule rule : rules) {
            MappedRequest mapped = rule.map(request);
            if (mapped != null) {
                return mapped;
            }
        }
        return null;
    }

    private static MappedRequest bySegments(String target) {
        if (!target.startsWith("/")) {
            return null;
        }
        int query = target.indexOf('?');
        int end = query < 0 ? target.length() : query;
        int first = target.indexOf('/', 1);
        first = first < 0 || first > end ? end : first;
        if (first == 1) {
            return null;
        }
        int second = first == end ? end : target.indexOf('/', first + 1);
        second = second < 0 || second > end ? end : second;
        return new MappedRequest(
                target.substring(1, first), first == end ? "" : target.substring(first + 1, second), "", 0, -1);
    }

    /** A request without its variable parts, so that requests of one kind can be counted together. */
    public static String shape(RequestAttributes request) {
        StringBuilder shape = new StringBuilder(request.method()).append(' ');
        if (request.host() != null) {
            shape.append(request.host());
        }
        String[] segments = request.path().split("/", MAX_SEGMENTS + 2);
        for (int i = 0; i < segments.length && i <= MAX_SEGMENTS; i++) {
            boolean varies = segments[i].length() > MAX_SEGMENT_CHARS
                    || segments[i].chars().anyMatch(Character::isDigit);
            shape.append(i == 0 ? "" : "/").append(varies ? "{}" : segments[i]);
        }
        return shape.append(segments.length > MAX_SEGMENTS + 1 ? "/…" : "").toString();
    }
}
