package sablehinge.dataplane.http1;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Map;
import java.util.regex.Pattern;

/** How the head of a response relates to the request in progress on its connection. */
enum ResponseMatch {
    /** The response to the request in progress. */
    AWAITED,
    /** An informational response; the final one follows. */
    INTERIM,
    /** The response to another request, sent a second time or late. The awaited response may follow. */
    SURPLUS,
    /** It proves nothing: it names no request, contradicts itself, or is joined from parts of several responses. */
    UNTRUSTED;

    private static final int SWITCHING_PROTOCOLS = 101;
    /** The beginning of a status line. Inside a head, it shows that a response was broken off and another one began. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}");

    private static final String STATUS_LINE_PREFIX = "HTTP/1.";

    /** Classifies a response that begins while a request is in progress. */
    static ResponseMatch of(UpstreamDialect dialect, HttpRequest request, HttpResponse head) {
        if (containsStatusLine(head)) {
            return UNTRUSTED;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return head.status().code() == SWITCHING_PROTOCOLS ? UNTRUSTED : INTERIM;
        }
        if (!dialect.identifiesRequest(head)) {
            return UNTRUSTED;
        }
        return dialect.isResponseTo(request, head) ? AWAITED : SURPLUS;
    }

    private static boolean containsStatusLine(HttpResponse head) {
        if (containsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : head.headers()) {
            if (containsStatusLine(header.getKey()) || containsStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text.contains(STATUS_LINE_PREFIX) && STATUS_LINE.matcher(text).find();
    }
}
