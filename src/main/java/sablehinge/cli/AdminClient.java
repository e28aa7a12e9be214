package sablehinge.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
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
        String text = answer.toString(StandardCharsets.UTF_8);
        int end = text.indexOf("\r\n\r\n");
        if (!text.startsWith("HTTP/1.1 ") || end < 0) {
            throw new IOException("the balancer at " + endpoint + " ended the connection without an answer");
        }
        return new Answer(Integer.parseInt(text.substring(9, 12)), JSON.readTree(text.substring(end + 4)));
    }

    private static void write(SocketChannel channel, byte[] bytes) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            channel.write(remaining);
        }
    }
}
