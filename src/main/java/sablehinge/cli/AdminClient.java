package sablehinge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import sablehinge.common.http.ResponseDecoder;
import sablehinge.gateway.settings.Addresses;

/** A client of a running balancer's admin listener; opens one connection per request. */
final class AdminClient {

    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    private static final JsonMapper JSON = new JsonMapper();

    private final String endpoint;
    private final SocketAddress address;
    private final String token;

    /** An answer: its status and its body. */
    record Answer(int status, JsonNode body) {}

    /** Creates a client for a Unix socket, given its path, or for a loopback port with a token. */
    AdminClient(String endpoint, String token) throws IOException {
        this.endpoint = endpoint;
        this.token = token;
        try {
            address = endpoint.matches("[\\[\\]0-9a-fA-F.:]+:[0-9]+")
                    ? Addresses.parse(endpoint)
                    : UnixDomainSocketAddress.of(Path.of(endpoint));
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    Answer call(String method, String target, byte[] body) throws IOException {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        try (SocketChannel channel = SocketChannel.open(address)) {
            int length = body == null ? 0 : body.length;
            String head = method + " " + target + " HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n"
                    + (token == null ? "" : "Authorization: Bearer " + token + "\r\n")
                    + "Content-Length: " + length + "\r\n\r\n";
            write(channel, head.getBytes(StandardCharsets.US_ASCII));
            write(channel, body == null ? new byte[0] : body);
            ByteBuffer buffer = ByteBuffer.allocate(1 << 14);
            while (channel.read(buffer) >= 0 && answer.size() < MAX_RESPONSE_BYTES) {
                answer.write(buffer.array(), 0, buffer.position());
                buffer.clear();
            }
        } catch (IOException e) {
            throw new IOException("no balancer answers at " + endpoint + ": " + e.getMessage(), e);
        }
        return parse(answer.toByteArray());
    }

    private Answer parse(byte[] received) throws IOException {
        EmbeddedChannel decoder =
                new EmbeddedChannel(new ResponseDecoder(), new HttpObjectAggregator(MAX_RESPONSE_BYTES));
        try {
            decoder.writeInbound(Unpooled.wrappedBuffer(received));
            FullHttpResponse response = decoder.readInbound();
            if (response == null || !response.decoderResult().isSuccess()) {
                throw new IOException("the balancer at " + endpoint + " ended the connection without an answer");
            }
            try (InputStream body = new ByteBufInputStream(response.content(), true)) {
                return new Answer(response.status().code(), JSON.readTree(body));
            }
        } catch (DecoderException e) {
            throw new IOException("the balancer at " + endpoint + " sent a malformed answer", e);
        } finally {
            decoder.releaseInbound();
        }
    }

    private static void write(SocketChannel channel, byte[] bytes) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            channel.write(remaining);
        }
    }
}
