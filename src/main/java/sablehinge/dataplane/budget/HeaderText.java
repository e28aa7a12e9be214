package sablehinge.dataplane.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Encodes and decodes the headers {@code Sablehinge-Budget} (requests) and {@code Sablehinge-Spent} (responses). With
 * keys, headers are signed, and a missing or invalid signature makes a header forged. Without keys, any readable header
 * is accepted.
 */
public final class HeaderText {

    /** Longer than any written header; longer headers are rejected without parsing. */
    public static final int MAX_CHARS = 512;

    private static final int HEX = 16;
    private static final String NUMBER = "([0-9]{1,10}(?:\\.[0-9]{1,3})?)";
    private static final Pattern SIGNED_PATTERN =
            Pattern.compile("([^;]+(?:;[^;]+)*);k=([A-Za-z0-9]{1,16});s=([0-9a-f]{32})");
    private static final Pattern BUDGET_PATTERN = Pattern.compile("v=1;g=([0-9a-f]{16});n=([0-9]{1,5});t=" + NUMBER
            + ";w=" + NUMBER + ";p=((?:[0-9a-f]{12}(?:\\.[0-9a-f]{12}){0,15})?)");
    private static final Pattern REPORT_PATTERN = Pattern.compile("v=1;g=([0-9a-f]{16});n=([0-9]{1,5});again=([01])");

    /** The result of reading a header. */
    public enum Kind {
        READ,
        MISSING,
        UNREADABLE,
        FORGED
    }

    /** A header that was read; {@code value} is null unless the kind is {@link Kind#READ}. */
    public record Found<T>(Kind kind, T value) {}

    private final Keys keys;

    /** Creates a codec with the keys of the zone, or null if zones trust each other. */
    public HeaderText(Keys keys) {
        this.keys = keys;
    }

    /** Encodes the header of a call. */
    public String write(Budget budget) {
        List<String> path = new ArrayList<>();
        budget.path().forEach(hop -> path.add(hex(hop).substring(HEX - 12)));
        // Values are rounded down, so that no hop adds time or value.
        return sign("v=1;g=" + hex(budget.grant()) + ";n=" + budget.attempts() + ";t="
                + decimal(budget.remaining()) + ";w=" + decimal(budget.value()) + ";p="
                + String.join(".", path));
    }

    /** Encodes the header of an answer. */
    public String write(Report report) {
        return sign("v=1;g=" + hex(report.grant()) + ";n=" + Math.min(report.spent(), Budget.MAX_ATTEMPTS) + ";again="
                + (report.retryable() ? 1 : 0));
    }

    /** Reads the header of a call; {@code text} is null if it is missing. */
    public Found<Budget> readBudget(String text) {
        Found<String> body = verify(text);
        Matcher matcher = body.value() == null ? null : BUDGET_PATTERN.matcher(body.value());
        if (matcher == null || !matcher.matches()) {
            return new Found<>(matcher == null ? body.kind() : Kind.UNREADABLE, null);
        }
        List<Long> path = new ArrayList<>();
        for (String hop : matcher.group(5).split("\\.")) {
            if (!hop.isEmpty()) {
                path.add(Long.parseLong(hop, HEX));
            }
        }
        try {
            return new Found<>(
                    Kind.READ,
                    new Budget(
                            Long.parseUnsignedLong(matcher.group(1), HEX),
                            Integer.parseInt(matcher.group(2)),
                            Double.parseDouble(matcher.group(3)),
                            Double.parseDouble(matcher.group(4)),
                            path));
        } catch (IllegalArgumentException e) {
            return new Found<>(Kind.UNREADABLE, null);
        }
    }

    /** Reads the header of an answer; {@code text} is null if it is missing. */
    public Found<Report> readReport(String text) {
        Found<String> body = verify(text);
        Matcher matcher = body.value() == null ? null : REPORT_PATTERN.matcher(body.value());
        if (matcher == null || !matcher.matches()) {
            return new Found<>(matcher == null ? body.kind() : Kind.UNREADABLE, null);
        }
        return new Found<>(
                Kind.READ,
                new Report(
                        Long.parseUnsignedLong(matcher.group(1), HEX),
                        Integer.parseInt(matcher.group(2)),
                        matcher.group(3).equals("1")));
    }

    private String sign(String text) {
        return keys == null ? text : text + ";k=" + keys.signingKey() + ";s=" + keys.tag(keys.signingKey(), text);
    }

    private Found<String> verify(String text) {
        if (text == null) {
            return new Found<>(Kind.MISSING, null);
        }
        if (text.length() > MAX_CHARS) {
            return new Found<>(Kind.UNREADABLE, null);
        }
        if (keys == null) {
            return new Found<>(Kind.READ, text);
        }
        Matcher signed = SIGNED_PATTERN.matcher(text);
        if (!signed.matches() || !keys.verify(signed.group(2), signed.group(1), signed.group(3))) {
            return new Found<>(Kind.FORGED, null);
        }
        return new Found<>(Kind.READ, signed.group(1));
    }

    private static String hex(long value) {
        String digits = Long.toHexString(value);
        return "0".repeat(HEX - digits.length()) + digits;
    }

    private static String decimal(double value) {
        long thousandths = (long) Math.floor(value * 1_000);
        String fraction = Long.toString(thousandths % 1_000);
        return thousandths / 1_000 + "." + "0".repeat(3 - fraction.length()) + fraction;
    }
}
