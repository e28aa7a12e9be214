package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import sablehinge.dataplane.proxy.Arrival;
import sablehinge.dataplane.proxy.Version;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.ServiceClass;

/**
 * Validates requests of clients before any part of them is passed on. Input that an upstream might parse differently
 * from this balancer, such as where a body ends, must not reach it.
 */
final class RequestCheck {

    private static final int MS_PER_S = 1_000;
    private static final int MIN_REQUEST_LINE_BYTES = 4_096;
    /** An id or a key. It is forwarded unchanged, so it must consist of printable ASCII characters. */
    private static final Pattern TOKEN = Pattern.compile("[!-~]{1,128}");

    private static final Pattern TARGET = Pattern.compile("/[!-~]{0,2047}");
    private static final Pattern DIGITS = Pattern.compile("[0-9]{1,18}");
    /** Narrower than Java's number format, which includes NaN, hexadecimals and suffixes. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{0,12})?");

    private final Version version;
    private final Map<String, Integer> classes = new HashMap<>();

    /** Creates a check by the service classes and tenants of the given version. */
    RequestCheck(Version version) {
        this.version = version;
        for (int i = 0; i < version.classes().size(); i++) {
            classes.put(version.classes().get(i), i);
        }
    }

    /** Rejects a message with both framings; Netty would drop its length and continue. */
    static class Decoder extends HttpRequestDecoder {

        Decoder(int headerBytes) {
            super(new HttpDecoderConfig()
                    .setMaxChunkSize(UpstreamClient.MAX_PART_BYTES)
                    .setMaxHeaderSize(headerBytes)
                    .setMaxInitialLineLength(Math.max(MIN_REQUEST_LINE_BYTES, headerBytes / 2)));
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both framings");
        }
    }

    Version version() {
        return version;
    }

    /** Checks a head before its body is received: whether it is well-formed, and how the body is delimited. */
    static void checkHead(HttpRequest head, long bodyBytes) throws BadRequestException {
        if (!head.decoderResult().isSuccess()) {
            Throwable cause = head.decoderResult().cause();
            throw new BadRequestException(
                    cause instanceof TooLongHttpLineException
                            ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                            : cause instanceof TooLongHttpHeaderException
                                    ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                                    : HttpResponseStatus.BAD_REQUEST,
                    "malformed HTTP");
        }
        if (head.protocolVersion().majorVersion() != 1) {
            throw new BadRequestException(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "not HTTP/1.1");
        }
        HttpHeaders headers = head.headers();
        String coding = singleValue(headers, HttpHeaderNames.TRANSFER_ENCODING);
        String length = singleValue(headers, HttpHeaderNames.CONTENT_LENGTH);
        if (coding != null
                && (length != null
                        || !coding.strip().equalsIgnoreCase("chunked")
                        || head.protocolVersion().equals(HttpVersion.HTTP_1_0))) {
            throw new BadRequestException("the end of the body is in doubt");
        }
        if (length != null && !DIGITS.matcher(length).matches()) {
            throw new BadRequestException("Content-Length is no length");
        }
        if (length != null && Long.parseLong(length) > bodyBytes) {
            throw tooLarge();
        }
        String expect = singleValue(headers, HttpHeaderNames.EXPECT);
        if (expect != null && !expect.equalsIgnoreCase("100-continue")) {
            throw new BadRequestException(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
        }
    }

    static BadRequestException tooLarge() {
        return new BadRequestException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }

    /** Reads a complete request at the given time. */
    CheckedRequest read(FullHttpRequest request, double now) throws BadRequestException {
        return read(request, request.content().isReadable(), now);
    }

    /** Reads the head of a request; the body may still be received. */
    CheckedRequest read(HttpRequest request, boolean hasBody, double now) throws BadRequestException {
        if (!TARGET.matcher(request.uri()).matches()) {
            throw new BadRequestException("the target is no path");
        }
        HttpHeaders headers = request.headers();
        String name = singleValue(headers, "X-Lane");
        Integer classIndex = classes.get(name);
        if (classIndex == null || !name.equals(firstPart(request.uri()))) {
            throw new BadRequestException("unknown class");
        }
        ServiceClass type = version.settings().classes().get(classIndex);
        boolean get = request.method().equals(HttpMethod.GET);
        if (get != (type.repeat() == Repeat.IDEMPOTENT)
                || !get && !request.method().equals(HttpMethod.POST)) {
            throw new BadRequestException("the class wants another method");
        }
        if (get && hasBody) {
            throw new BadRequestException("a body that nobody reads");
        }
        if (token(headers, "Idempotency-Key") == null ^ type.repeat() != Repeat.DEDUPLICATED) {
            throw new BadRequestException("the class wants Idempotency-Key otherwise");
        }
        String txn = token(headers, "X-Txn");
        if (txn == null) {
            throw new BadRequestException("X-Txn is missing");
        }
        String tenant = singleValue(headers, "X-Org");
        List<String> tenants = version.tenants();
        int tenantIndex = tenants.isEmpty() || tenant == null ? 0 : tenants.indexOf(tenant);
        if (tenantIndex < 0) {
            throw new BadRequestException("unknown tenant");
        }
        double remaining = number(headers, "X-Remaining");
        if (Double.isNaN(remaining)) {
            throw new BadRequestException("X-Remaining is missing");
        }
        double estimate = number(headers, "X-Estimate");
        // No client of this class waits longer, whatever it claims; state that is kept for it must not stay longer
        // either.
        return new CheckedRequest(
                txn,
                new Arrival(
                        classIndex,
                        tenantIndex,
                        key(singleValue(headers, "Cookie")),
                        now + Math.min(type.deadline(), remaining * MS_PER_S),
                        Double.isNaN(estimate) ? 0 : estimate / MS_PER_S,
                        "1".equals(singleValue(headers, "X-Resent")),
                        !get),
                version);
    }

    private static String firstPart(String uri) {
        String[] parts = uri.split("[/?]", 3);
        return parts.length > 1 ? parts[1] : "";
    }

    /**
     * A header's only value, or null. A repeated header is rejected, as recipients may differ in which value they use.
     */
    static String singleValue(HttpHeaders headers, CharSequence name) throws BadRequestException {
        List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            throw new BadRequestException(name + " is repeated");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    private static String token(HttpHeaders headers, String name) throws BadRequestException {
        String text = singleValue(headers, name);
        if (text != null && !TOKEN.matcher(text).matches()) {
            throw new BadRequestException(name + " is of no use");
        }
        return text;
    }

    /** The non-negative number in a header; NaN if the header is absent. */
    private static double number(HttpHeaders headers, String name) throws BadRequestException {
        String text = singleValue(headers, name);
        if (text == null) {
            return Double.NaN;
        }
        if (!DECIMAL.matcher(text).matches()) {
            throw new BadRequestException(name + " is no number of use");
        }
        return Double.parseDouble(text);
    }

    /** The key of the request from the cookie {@code key}; 0 for none. */
    private static long key(String cookies) {
        if (cookies == null) {
            return 0;
        }
        for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
            if (cookie.name().equals("key")) {
                try {
                    return Long.parseUnsignedLong(cookie.value(), 16);
                } catch (NumberFormatException e) {
                    return cookie.value().hashCode();
                }
            }
        }
        return 0;
    }
}
