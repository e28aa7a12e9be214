package sablehinge.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

/**
 * Status lines and field names, one char an octet: those that RFC 9112 (4) and RFC 9110 (5.1, 15) allow, and those
 * beside them, which differ by one octet, one code or one token.
 */
public final class ResponseGrammar {

    private static final int OCTETS = 256;
    private static final int TAB = '\t';
    private static final int DELETE = 0x7f;
    private static final String PUNCTUATION_OF_TOKENS = "!#$%&'*+-.^_`|~";
    /** The name into which octets are inserted. */
    private static final String NAME = "Ab";

    private static final String REASON = "OK";

    private ResponseGrammar() {}

    /** Status lines of successes, without their line break. */
    public static List<String> successes() {
        List<String> lines = new ArrayList<>(List.of(
                "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.9 200 OK", "HTTP/1.1 299 Other", "HTTP/1.1 200 200 OK"));
        forEachInsertion(REASON, ResponseGrammar::isReason, reason -> lines.add("HTTP/1.1 200 " + reason));
        return lines;
    }

    /** Lines that are no status lines; each one resembles that of a success or of a failure. */
    public static List<String> malformedStatusLines() {
        List<String> lines = new ArrayList<>(List.of(
                "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 OK", "HTTP/1.1 200", "HTTP/1.1 20", "HTTP/1.1 2 OK", "200 OK"));
        for (int code = 0; code < 1_000; code++) {
            if (code < 100 || code > 599) {
                lines.add("HTTP/1.1 %03d OK".formatted(code));
            }
        }
        for (String code : List.of("20", "0200", "2000", "00200", "1000", "+200", "-200", "+20", "2e2", "0x200")) {
            lines.add("HTTP/1.1 " + code + " OK");
        }
        // Another octet in place of one of the version, or of the space on either side of the code.
        for (int octet = 0; octet < OCTETS; octet++) {
            String version = "HTTP/1.1";
            for (int at = 0; at < version.length(); at++) {
                boolean minor = at == version.length() - 1;
                if (octet != version.charAt(at) && !(minor && Character.isDigit(octet))) {
                    lines.add(version.substring(0, at) + (char) octet + version.substring(at + 1) + " 200 OK");
                }
            }
            if (octet != ' ') {
                lines.add("HTTP/1.1" + (char) octet + "200 OK");
                lines.add("HTTP/1.1 200" + (char) octet + "OK");
            }
        }
        forEachInsertion("200", octet -> true, code -> {
            // A space behind the code begins the reason phrase.
            if (!code.equals("200 ")) {
                lines.add("HTTP/1.1 " + code + " OK");
            }
        });
        forEachInsertion(REASON, octet -> !isReason(octet), reason -> lines.add("HTTP/1.1 200 " + reason));
        return lines;
    }

    /** Names that differ from a token by one octet. */
    public static List<String> malformedNames() {
        List<String> names = new ArrayList<>(List.of(""));
        forEachInsertion(NAME, octet -> !isToken(octet), name -> {
            // A colon behind the first octet ends the name.
            if (name.indexOf(':') <= 0) {
                names.add(name);
            }
        });
        return names;
    }

    /** Tokens; each octet that may stand in one stands at each place. */
    public static List<String> names() {
        List<String> names = new ArrayList<>(List.of("a", "9", "~"));
        forEachInsertion(NAME, ResponseGrammar::isToken, names::add);
        return names;
    }

    /** The octets as text, for messages. */
    public static String escape(String octets) {
        StringBuilder escaped = new StringBuilder();
        for (char octet : octets.toCharArray()) {
            escaped.append(octet >= ' ' && octet <= '~' ? String.valueOf(octet) : "\\x%02x".formatted((int) octet));
        }
        return escaped.toString();
    }

    private static void forEachInsertion(String text, IntPredicate which, Consumer<String> each) {
        for (int at = 0; at <= text.length(); at++) {
            for (int octet = 0; octet < OCTETS; octet++) {
                if (which.test(octet)) {
                    each.accept(text.substring(0, at) + (char) octet + text.substring(at));
                }
            }
        }
    }

    private static boolean isToken(int octet) {
        return octet >= '0' && octet <= '9'
                || octet >= 'A' && octet <= 'Z'
                || octet >= 'a' && octet <= 'z'
                || PUNCTUATION_OF_TOKENS.indexOf(octet) >= 0;
    }

    private static boolean isReason(int octet) {
        return octet == TAB || octet >= ' ' && octet != DELETE;
    }
}
