package sablehinge.dataplane.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import sablehinge.dataplane.sidecar.RawResponseFixture.Hop;
import sablehinge.testing.ResponseGrammar;

/**
 * Responses drawn from the grammar, raw over a socket: what RFC 9112 and RFC 9110 do not allow as a status line or as a
 * field name is no response. The request may have run, so it is answered with 502 and repeated only if it is safe, and
 * the connection is closed.
 */
@Timeout(300)
class MalformedResponseTest {

    private static final String OK = "HTTP/1.1 200 OK";
    private static final String BODY = "the body";
    /** More than is buffered, so that the body is relayed. */
    private static final String RELAYED_BODY = "b".repeat(100_000);
    /** A step between responses that are sent octet by octet. */
    private static final int SPLIT_STEP = 97;

    /** Where a field stands. */
    private enum Place {
        FIRST_FIELD,
        LATER_FIELD,
        INTERIM_HEAD,
        TRAILER,
        /** After a trailer that is not kept, so that there is nothing to append a folded line to. */
        LATER_TRAILER;

        /** A successful response with a field of the given name. */
        String response(String name, String id) {
            String field = name + ": v\r\n";
            return switch (this) {
                case FIRST_FIELD -> ok(field + identity(id) + whole(BODY));
                case LATER_FIELD -> ok(identity(id) + field + whole(BODY));
                case INTERIM_HEAD ->
                    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + field + "\r\n" + ok(identity(id) + whole(BODY));
                case TRAILER -> ok(identity(id) + chunked(BODY, field));
                case LATER_TRAILER -> ok(identity(id) + chunked(BODY, "Trailer: x\r\n" + field));
            };
        }
    }

    private static String ok(String rest) {
        return OK + "\r\n" + rest;
    }

    private static String identity(String id) {
        return "Sablehinge-Try-Id: " + id + "\r\nSablehinge-Postmark: 3e1b." + id + "\r\nSablehinge-Verdict: ran\r\n";
    }

    private static String whole(String body) {
        return "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String chunked(String body, String trailers) {
        return "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n"
                + trailers + "\r\n";
    }

    private static String withStatusLine(String statusLine, String id) {
        return statusLine + "\r\n" + identity(id) + whole(BODY);
    }

    /** MIXED: a response with a status of 000 reached the client as {@code HTTP/1.1 0}. */
    @ParameterizedTest
    @EnumSource
    void malformedStatusLineIsNoResponse(Hop hop) throws Exception {
        try (RawResponseFixture raw = new RawResponseFixture(hop)) {
            List<String> lines = ResponseGrammar.malformedStatusLines();
            for (int i = 0; i < lines.size(); i++) {
                String line = lines.get(i);
                raw.expectBadGateway(line, id -> withStatusLine(line, id), i % SPLIT_STEP == 0);
            }
            raw.finish();
        }
    }

    /** The same for a status line that comes in one segment with the interim response before it. */
    @ParameterizedTest
    @EnumSource
    void malformedStatusLineAfterInterimResponseIsNoResponse(Hop hop) throws Exception {
        try (RawResponseFixture raw = new RawResponseFixture(hop)) {
            List<String> lines = new ArrayList<>(ResponseGrammar.malformedStatusLines());
            List.of("\0", " ", "\r\n", "\1\177").forEach(octets -> lines.add(octets + OK));
            for (int i = 0; i < lines.size(); i++) {
                String line = lines.get(i);
                if (i % SPLIT_STEP < SPLIT_STEP / 8 || i >= lines.size() - 8) {
                    raw.expectBadGateway(
                            line, id -> "HTTP/1.1 103 Early Hints\r\n\r\n" + withStatusLine(line, id), false);
                }
            }
            raw.finish();
        }
    }

    /** A malformed status line of an interim response, or of a response to another request, ends the attempt too. */
    @ParameterizedTest
    @EnumSource
    void malformedStatusLineBeforeTheAwaitedResponseIsNoResponse(Hop hop) throws Exception {
        try (RawResponseFixture raw = new RawResponseFixture(hop)) {
            for (String line :
                    List.of("HTTP/1.1 099 Continue", "HTTP/1.1 1000 C", "HTTP/1.1 103 a\1", "HTTP/1.1 103")) {
                raw.expectBadGateway(line, id -> line + "\r\n\r\n" + withStatusLine(OK, id), false);
                raw.expectBadGateway(line, id -> withStatusLine(line, "t-other") + withStatusLine(OK, id), false);
            }
            raw.finish();
        }
    }

    /** A line with such a name was passed on, or became a part of the line before, which lost what frames the body. */
    @ParameterizedTest
    @EnumSource
    void malformedFieldNameIsNoResponse(Hop hop) throws Exception {
        try (RawResponseFixture raw = new RawResponseFixture(hop)) {
            for (Place place : Place.values()) {
                List<String> names = ResponseGrammar.malformedNames();
                for (int i = 0; i < names.size(); i++) {
                    String name = names.get(i);
                    raw.expectBadGateway(place + " " + name, id -> place.response(name, id), i % SPLIT_STEP == 0);
                }
            }
            raw.finish();
        }
    }

    /** The field that frames the body is lost with its name. */
    @ParameterizedTest
    @EnumSource
    void malformedNameOfLengthIsNoResponse(Hop hop) throws Exception {
        try (RawResponseFixture raw = new RawResponseFixture(hop)) {
            String name = "Content-Length";
            for (int at = 0; at <= name.length(); at++) {
                for (char octet : new char[] {0, '\t', '\n', '\r', ' ', 0x7f, 0xa0}) {
                    String broken = name.substring(0, at) + octet + name.substring(at);
                    raw.expectBadGateway(
                            broken, id -> ok(identity(id) + whole(BODY).replaceFirst(name, broken)), false);
                }
            }
            raw.finish();
        }
    }

    @ParameterizedTest
    @EnumSource
    void allowedStatusLinesAndFieldNamesPass(Hop hop) throws Exception {
        try (RawResponseFixture raw = new RawResponseFixture(hop)) {
            List<String> lines = ResponseGrammar.successes();
            for (int i = 0; i < lines.size(); i++) {
                String line = lines.get(i);
                raw.expect(
                        line,
                        Integer.parseInt(line.substring(9, 12)),
                        BODY,
                        id -> withStatusLine(line, id),
                        i % SPLIT_STEP == 0);
            }
            for (int code : new int[] {100, 102, 199}) {
                String interim = "HTTP/1.1 " + code + " \r\n\r\n";
                raw.expect(interim, 200, BODY, id -> interim + withStatusLine(OK, id), true);
            }
            for (int code : new int[] {400, 404, 499, 500, 501, 599}) {
                String line = "HTTP/1.1 " + code + " ";
                raw.expect(line, code, BODY, id -> withStatusLine(line, id), true);
            }
            for (Place place : Place.values()) {
                List<String> names = ResponseGrammar.names();
                for (int i = 0; i < names.size(); i++) {
                    String name = names.get(i);
                    var answer = raw.expect(
                            place + " " + name, 200, BODY, id -> place.response(name, id), i % SPLIT_STEP == 0);
                    if (place == Place.FIRST_FIELD || place == Place.LATER_FIELD) {
                        assertEquals(List.of("v"), answer.headerValues(name), name);
                    }
                }
            }
            raw.finish();
        }
    }

    /** A request that is safe is sent again, as after any other failure. */
    @ParameterizedTest
    @CsvSource({"BOTH", "OUTBOUND"})
    void safeRequestIsRepeatedAfterMalformedResponse(Hop hop) throws Exception {
        try (RawResponseFixture raw = new RawResponseFixture(hop)) {
            raw.expectRepeated(id -> withStatusLine("HTTP/1.1 000 OK", id));
            raw.expectRepeated(id -> Place.LATER_FIELD.response(" Ab", id));
            raw.expectRepeated(id -> Place.TRAILER.response("A\1b", id));
            raw.finish();
        }
    }

    @ParameterizedTest
    @EnumSource
    void malformedHeadOfRelayedResponseIsNoResponse(Hop hop) throws Exception {
        try (RawResponseFixture raw = new RawResponseFixture(hop)) {
            for (String line : List.of("HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 200 O\0K", "HTTP/1.1 200")) {
                raw.expectBadGateway(line, id -> line + "\r\n" + identity(id) + whole(RELAYED_BODY), false);
            }
            for (String name : List.of("A b", "A\1b", " Ab", "\tAb", "")) {
                raw.expectBadGateway(name, id -> ok(identity(id) + name + ": v\r\n" + whole(RELAYED_BODY)), false);
            }
            raw.expect("relayed", 200, RELAYED_BODY, id -> ok(identity(id) + whole(RELAYED_BODY)), false);
            raw.expect(
                    "relayed", 200, RELAYED_BODY, id -> ok(identity(id) + chunked(RELAYED_BODY, "Ab: v\r\n")), false);
            raw.finish();
        }
    }

    /** Once the body is relayed, all that is left is to let the client see that the response is incomplete. */
    @ParameterizedTest
    @EnumSource
    void malformedTrailerTruncatesRelayedResponse(Hop hop) throws Exception {
        try (RawResponseFixture raw = new RawResponseFixture(hop)) {
            for (String trailers :
                    List.of("A b: v\r\n", "A\1b: v\r\n", " Ab: v\r\n", "Trailer: x\r\n Ab: v\r\n", ": v\r\n")) {
                raw.expectIncomplete(trailers, id -> ok(identity(id) + chunked(RELAYED_BODY, trailers)));
            }
            raw.finish();
        }
    }

    /** Heads with several interim ones, fields and trailers at random, complete or with one octet too many. */
    @ParameterizedTest
    @CsvSource({"INBOUND,1", "BOTH,2", "OUTBOUND,3"})
    void drawnResponsesPassUnlessOnePartIsMalformed(Hop hop, long seed) throws Exception {
        try (RawResponseFixture raw = new RawResponseFixture(hop)) {
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; i < 300; i++) {
                String where = "seed " + seed + ", draw " + i;
                DrawnResponse drawn = DrawnResponse.draw(random);
                if (drawn.allowed()) {
                    raw.expect(where, 200, BODY, drawn::text, random.nextInt(10) == 0);
                } else {
                    raw.expectBadGateway(where, drawn::text, random.nextInt(10) == 0);
                }
            }
            raw.finish();
        }
    }

    /** A response to the request whose id is filled in. */
    private record DrawnResponse(
            String interim, String head, String fields, boolean isChunked, String trailers, boolean allowed) {

        static DrawnResponse draw(SplittableRandom random) {
            // The part that is malformed; most parts exist in every response.
            int broken = random.nextInt(8);
            StringBuilder interim = new StringBuilder();
            for (int i = random.nextInt(3); i >= 0; i--) {
                String name = name(random, broken == 0 && i == 0);
                interim.append("HTTP/1.1 103 ")
                        .append("Hints")
                        .append("\r\n")
                        .append(name)
                        .append(": v\r\n\r\n");
            }
            String head = broken == 1
                    ? pick(random, ResponseGrammar.malformedStatusLines())
                    : pick(
                            random,
                            ResponseGrammar.successes().stream()
                                    .filter(line -> line.startsWith("HTTP/1.1 200 "))
                                    .toList());
            StringBuilder fields = new StringBuilder();
            for (int i = random.nextInt(4); i >= 0; i--) {
                fields.append(name(random, broken == 2 && i == 0)).append(": v\r\n");
            }
            StringBuilder trailers = new StringBuilder();
            for (int i = random.nextInt(4); i >= 0; i--) {
                trailers.append(name(random, broken == 3 && i == 0)).append(": v\r\n");
            }
            boolean isChunked = broken == 3 || random.nextBoolean();
            return new DrawnResponse(
                    interim.toString(), head, fields.toString(), isChunked, trailers.toString(), broken > 3);
        }

        private static String name(SplittableRandom random, boolean malformed) {
            return pick(random, malformed ? ResponseGrammar.malformedNames() : ResponseGrammar.names());
        }

        private static String pick(SplittableRandom random, List<String> from) {
            return from.get(random.nextInt(from.size()));
        }

        String text(String id) {
            return interim + head + "\r\n" + fields + identity(id)
                    + (isChunked ? chunked(BODY, trailers) : whole(BODY));
        }
    }
}
