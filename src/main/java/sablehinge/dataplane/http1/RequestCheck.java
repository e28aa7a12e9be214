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
 * Checks what callers send against the protocol before anything of it goes further. What an upstream might read in
 * another way than this balancer, such as where a body ends, must not reach it.
 */
final class RequestCheck {

    private static final int MS = 1_000;
    private static final int LINE_BYTES = 4_096;
    /** An id or a key: it goes on as it came, so it must be plain. */
    private static final Pattern TOKEN = Pattern.compile("[!-~]{1,128}");

    private static final Pattern TARGET = Pattern.compile("/[!-~]{0,2047}");
    private static final Pattern DIGITS = Pattern.compile("[0-9]{1,18}");
    /** Narrower than what Java takes for a number, which includes NaN, hexadecimals and suffixes. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{0,12})?");

    private final Version version;
    private final Map<String, Integer> classes = new HashMap<>();

    /** A check by what the given version allows. */
    RequestCheck(Version version) {
        this.version = version;
        for (int i = 0; i < version.classes().size(); i++) {
            classes.put(version.classes().get(i), i);
        }
    }

    /** Netty would drop the length of a message that has both framings, and go on. */
    static class Decoder extends HttpRequestDecoder {

        Decoder(int headerBytes) {
            super(new HttpDecoderConfig()
                    .setMaxChunkSize(UpstreamClient.PART)
                    .setMaxHeaderSize(headerBytes)
                    .setMaxInitialLineLength(Math.max(LINE_BYTES, headerBytes / 2)));
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both framings");
        }
    }

    Version version() {
        return version;
    }

    /** Looks at a head before its body has come: whether it can be read, and where the body will end. */
    static void head(HttpRequest head, long bodyBytes) throws BadRequestException {
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
        String coding = single(headers, HttpHeaderNames.TRANSFER_ENCODING);
        String length = single(headers, HttpHeaderNames.CONTENT_LENGTH);
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
        String expect = single(headers, HttpHeaderNames.EXPECT);
        if (expect != null && !expect.equalsIgnoreCase("100-continue")) {
            throw new BadRequestException(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
        }
    }

    static BadRequestException tooLarge() {
        return new BadRequestException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }

    /** Reads a complete request that came at the given time. */
    CheckedRequest read(FullHttpRequest request, double now) throws BadRequestException {
        return read(request, request.content().isReadable(), now);
    }

    /** Reads the head of a request; the body may be still coming. */
    CheckedRequest read(HttpRequest request, boolean hasBody, double now) throws BadRequestException {
        if (!TARGET.matcher(request.uri()).matches()) {
            throw new BadRequestException("the target is no path");
        }
        HttpHeaders headers = request.headers();
        String name = single(headers, "X-Lane");
        Integer place = classes.get(name);
        if (place == null || !name.equals(firstPart(request.uri()))) {
            throw new BadRequestException("unknown class");
        }
        ServiceClass type = version.settings().classes().get(place);
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
        String tenant = single(headers, "X-Org");
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
        // No client of this class waits longer, whatever it says; what is kept for it must not stay either.
        return new CheckedRequest(
                txn,
                new Arrival(
                        place,
                        tenantIndex,
                        key(single(headers, "Cookie")),
                        now + Math.min(type.deadline(), remaining * MS),
                        Double.isNaN(estimate) ? 0 : estimate / MS,
                        "1".equals(single(headers, "X-Resent")),
                        !get),
                version);
    }

    private static String firstPart(String uri) {
        String[] parts = uri.split("[/?]", 3);
        return parts.length > 1 ? parts[1] : "";
    }

    /** A header's one value, or null; two could be read as either. */
    static String single(HttpHeaders headers, CharSequence name) throws BadRequestException {
        List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            throw new BadRequestException(name + " is repeated");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    private static String token(HttpHeaders headers, String name) throws BadRequestException {
        String text = single(headers, name);
        if (text != null && !TOKEN.matcher(text).matches()) {
            throw new BadRequestException(name + " is of no use");
        }
        return text;
    }

    /** A header's number, not below 0; NaN where the header is absent. */
    private static double number(HttpHeaders headers, String name) throws BadRequestException {
        String text = single(headers, name);
        if (text == null) {
            return Double.NaN;
        }
        if (!DECIMAL.matcher(text).matches()) {
            throw new BadRequestException(name + " is no number of use");
        }
        return Double.parseDouble(text);
    }

    /** What the request is about, as the cookie {@code key} has it; 0 for none. */
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
