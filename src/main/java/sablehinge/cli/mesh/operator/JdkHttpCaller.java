package sablehinge.cli.mesh.operator;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Calls over HTTP/1.1 with the JDK's client. */
final class JdkHttpCaller implements HttpCaller {

    /** The longest answer that is read; every configuration is smaller. */
    private static final long MAX_ANSWER_BYTES = 16 << 20;

    private static final long CONNECT_TIMEOUT_MS = 1_000;

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.NEVER)
            .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
            .build();

    @Override
    public Answer call(String address, Request request, long withinMs) throws IOException, InterruptedException {
        HttpRequest.Builder builder;
        try {
            builder = HttpRequest.newBuilder(URI.create("http://" + address + request.path()));
        } catch (IllegalArgumentException e) {
            throw new ConnectException("no address to call: " + address);
        }
        request.headers().forEach(builder::setHeader);
        builder.method(
                request.method(),
                request.body().length == 0
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofByteArray(request.body()));
        CompletableFuture<HttpResponse<byte[]>> call = http.sendAsync(builder.build(), JdkHttpCaller::limitedBody);
        try {
            HttpResponse<byte[]> answer = call.get(withinMs, TimeUnit.MILLISECONDS);
            return new Answer(
                    answer.statusCode(), answer.headers().firstValue("Location").orElse(null), answer.body());
        } catch (TimeoutException e) {
            call.cancel(true);
            throw new IOException("no answer within " + withinMs + " ms", e);
        } catch (ExecutionException e) {
            throw failure(e.getCause());
        }
    }

    private static IOException failure(Throwable cause) {
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            return new ConnectException("no connection");
        }
        return new IOException("no whole answer: " + cause.getMessage(), cause);
    }

    /** Rejects answers that are too long or lack a Content-Length, which the core always sends. */
    private static HttpResponse.BodySubscriber<byte[]> limitedBody(HttpResponse.ResponseInfo head) {
        long length = head.headers().firstValueAsLong("Content-Length").orElse(Long.MAX_VALUE);
        if (length > MAX_ANSWER_BYTES) {
            throw new IllegalStateException(
                    "an answer of " + MAX_ANSWER_BYTES + " bytes at most, with its length, was expected");
        }
        return HttpResponse.BodySubscribers.ofByteArray();
    }
}
