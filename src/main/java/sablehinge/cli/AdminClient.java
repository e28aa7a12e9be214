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

/** One request to a running balancer's admin listener, and its answer. */
final class AdminClient {

    private static final int MAX_BYTES = 8 << 20;
    private static final JsonMapper JSON = new JsonMapper();

    private final String place;
    private final SocketAddress address;
    private final String token;

    /** An answer: its status and its body. */
    record Answer(int status, JsonNode body) {}

    /** A client of a Unix socket, by its path, or of a loopback port with a token. */
    AdminClient(String place, String token) throws IOException {
        this.place = place;
        this.token = token;
        try {
            address = place.matches("[\\[\\]0-9a-fA-F.:]+:[0-9]+")
                    ? Addresses.parse(place)
                    : UnixDomainSocketAddress.of(Path.of(place));
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    Answer ask(String method, String target, byte[] body) throws IOException {
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        try (SocketChannel channel = SocketChannel.open(address)) {
            int length = body == null ? 0 : body.length;
            String head = method + " " + target + " HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n"
                    + (token == null ? "" : "Authorization: Bearer " + token + "\r\n")
                    + "Content-Length: " + length + "\r\n\r\n";
            write(channel, head.getBytes(StandardCharsets.US_ASCII));
            write(channel, body == null ? new byte[0] : body);
            ByteBuffer part = ByteBuffer.allocate(1 << 14);
            while (channel.read(part) >= 0 && answer.size() < MAX_BYTES) {
                answer.write(part.array(), 0, part.position());
                part.clear();
            }
        } catch (IOException e) {
            throw new IOException("no balancer answers at " + place + ": " + e.getMessage(), e);
        }
        String text = answer.toString(StandardCharsets.UTF_8);
        int end = text.indexOf("\r\n\r\n");
        if (!text.startsWith("HTTP/1.1 ") || end < 0) {
            throw new IOException("the balancer at " + place + " ended the connection without an answer");
        }
        return new Answer(Integer.parseInt(text.substring(9, 12)), JSON.readTree(text.substring(end + 4)));
    }

    private static void write(SocketChannel channel, byte[] bytes) throws IOException {
        ByteBuffer left = ByteBuffer.wrap(bytes);
        while (left.hasRemaining()) {
            channel.write(left);
        }
    }
}
