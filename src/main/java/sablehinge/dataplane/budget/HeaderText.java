package sablehinge.dataplane.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The text of the two headers, {@code Sablehinge-Budget} down and {@code Sablehinge-Spent} up. With keys all is signed,
 * and what is not, or not rightly, is forged; without, all that can be read is taken.
 */
public final class HeaderText {

    /** Longer than any that is written; a longer one is not looked at. */
    public static final int MAX_CHARS = 512;

    private static final int HEX = 16;
    private static final String NUMBER = "([0-9]{1,10}(?:\\.[0-9]{1,3})?)";
    private static final Pattern SIGNED = Pattern.compile("([^;]+(?:;[^;]+)*);k=([A-Za-z0-9]{1,16});s=([0-9a-f]{32})");
    private static final Pattern DOWN = Pattern.compile("v=1;g=([0-9a-f]{16});n=([0-9]{1,5});t=" + NUMBER + ";w="
            + NUMBER + ";p=((?:[0-9a-f]{12}(?:\\.[0-9a-f]{12}){0,15})?)");
    private static final Pattern UP = Pattern.compile("v=1;g=([0-9a-f]{16});n=([0-9]{1,5});again=([01])");

    /** How a header was read. */
    public enum Kind {
        READ,
        MISSING,
        UNREADABLE,
        FORGED
    }

    /** What was read; {@code value} is null unless it is {@link Kind#READ}. */
    public record Found<T>(Kind kind, T value) {}

    private final Keys keys;

    /** With the keys of the zone, or null where zones trust each other. */
    public HeaderText(Keys keys) {
        this.keys = keys;
    }

    /** The header of a call. */
    public String write(Budget budget) {
        List<String> path = new ArrayList<>();
        budget.path().forEach(hop -> path.add(hex(hop).substring(HEX - 12)));
        // Rounded down: nothing on the way adds time or value.
        return sign("v=1;g=" + hex(budget.grant()) + ";n=" + budget.attempts() + ";t="
                + decimal(budget.remaining()) + ";w=" + decimal(budget.value()) + ";p="
                + String.join(".", path));
    }

    /** The header of an answer. */
    public String write(Report report) {
        return sign("v=1;g=" + hex(report.grant()) + ";n=" + Math.min(report.spent(), Budget.MAX_ATTEMPTS) + ";again="
                + (report.again() ? 1 : 0));
    }

    /** Reads the header of a call; null where it has none. */
    public Found<Budget> readBudget(String text) {
        Found<String> body = verify(text);
        Matcher read = body.value() == null ? null : DOWN.matcher(body.value());
        if (read == null || !read.matches()) {
            return new Found<>(read == null ? body.kind() : Kind.UNREADABLE, null);
        }
        List<Long> path = new ArrayList<>();
        for (String hop : read.group(5).split("\\.")) {
            if (!hop.isEmpty()) {
                path.add(Long.parseLong(hop, HEX));
            }
        }
        try {
            return new Found<>(
                    Kind.READ,
                    new Budget(
                            Long.parseUnsignedLong(read.group(1), HEX),
                            Integer.parseInt(read.group(2)),
                            Double.parseDouble(read.group(3)),
                            Double.parseDouble(read.group(4)),
                            path));
        } catch (IllegalArgumentException e) {
            return new Found<>(Kind.UNREADABLE, null);
        }
    }

    /** Reads the header of an answer; null where it has none. */
    public Found<Report> readReport(String text) {
        Found<String> body = verify(text);
        Matcher read = body.value() == null ? null : UP.matcher(body.value());
        if (read == null || !read.matches()) {
            return new Found<>(read == null ? body.kind() : Kind.UNREADABLE, null);
        }
        return new Found<>(
                Kind.READ,
                new Report(
                        Long.parseUnsignedLong(read.group(1), HEX),
                        Integer.parseInt(read.group(2)),
                        read.group(3).equals("1")));
    }

    private String sign(String text) {
        return keys == null ? text : text + ";k=" + keys.signing() + ";s=" + keys.tag(keys.signing(), text);
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
        Matcher signed = SIGNED.matcher(text);
        if (!signed.matches() || !keys.verifies(signed.group(2), signed.group(1), signed.group(3))) {
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
        String rest = Long.toString(thousandths % 1_000);
        return thousandths / 1_000 + "." + "0".repeat(3 - rest.length()) + rest;
    }
}
