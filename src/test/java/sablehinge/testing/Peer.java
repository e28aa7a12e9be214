package sablehinge.testing;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One end of a plain HTTP/1.1 connection, with nothing between the test and the bytes. */
public final class Peer implements AutoCloseable {

    /** A message as it came: its first line, its headers by lower-case name, its body. */
    public record Message(String first, Map<String, String> headers, String body) {

        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    public static final int TIMEOUT_MS = 20_000;

    public final Socket socket;
    private final InputStream in;

    public Peer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = socket.getInputStream();
    }

    public static Peer to(InetSocketAddress address) throws IOException {
        return new Peer(new Socket(InetAddress.getLoopbackAddress(), address.getPort()));
    }

    /** Connects as soon as the process serves. */
    public static Peer toServing(InetSocketAddress address, Process process) throws IOException {
        while (true) {
            try {
                Peer peer = to(address);
                peer.write("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                if (peer.read().status() != 200) {
                    throw new AssertionError("not healthy");
                }
                return peer;
            } catch (IOException e) {
                if (!process.isAlive()) {
                    throw new AssertionError("the node has ended", e);
                }
                Thread.onSpinWait();
            }
        }
    }

    public void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next message, or null at the end of the stream. */
    public Message read() throws IOException {
        String first = line();
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(first, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Whether the other side has ended the connection; waits for that. */
    public boolean ended() {
        try {
            return in.read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.length() == 0 ? null : line.toString();
    }

    /** Breaks the connection off with a reset. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
