package sablehinge.common.mapping;

import java.util.List;

/**
 * Says what logged requests are, by the first rule that is for them. Without any rules the first part of the path is
 * the class and the second the key.
 */
public final class Mapping {

    /** Parts of a path that a shape shows. */
    private static final int MAX_PARTS = 6;

    private static final int MAX_PART = 24;

    private final List<Rule> rules;

    /** A mapping by its rules, in their order. */
    public Mapping(List<Rule> rules) {
        this.rules = List.copyOf(rules);
    }

    /** What a request is; null if no rule is for it. */
    public MappedRequest map(RequestAttributes request) {
        if (rules.isEmpty()) {
            return byParts(request.target());
        }
        for (Rule rule : rules) {
            MappedRequest mapped = rule.map(request);
            if (mapped != null) {
                return mapped;
            }
        }
        return null;
    }

    private static MappedRequest byParts(String target) {
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

    /** A request with what varies left out, so that requests of one kind can be counted as such. */
    public static String shape(RequestAttributes request) {
        StringBuilder shape = new StringBuilder(request.method()).append(' ');
        if (request.host() != null) {
            shape.append(request.host());
        }
        String[] parts = request.path().split("/", MAX_PARTS + 2);
        for (int i = 0; i < parts.length && i <= MAX_PARTS; i++) {
            boolean varies = parts[i].length() > MAX_PART || parts[i].chars().anyMatch(Character::isDigit);
            shape.append(i == 0 ? "" : "/").append(varies ? "{}" : parts[i]);
        }
        return shape.append(parts.length > MAX_PARTS + 1 ? "/…" : "").toString();
    }
}
