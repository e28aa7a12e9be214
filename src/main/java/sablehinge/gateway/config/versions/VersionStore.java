package sablehinge.gateway.config.versions;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Versions of the configuration on disk. Each one's content is a file of its own that is never changed; one small file
 * says which is confirmed and which is on trial, and is replaced atomically by write, sync, rename and sync of the
 * directory. A crash at any point leaves that file as it was or as it was to be.
 */
public final class VersionStore implements AutoCloseable {

    private static final String STATE = "state.json";
    private static final String NEW = ".new";
    /** Newest versions that are kept, beside the confirmed one. */
    private static final int KEPT = 40;

    private static final JsonMapper JSON = new JsonMapper();

    private final Disk disk;
    private int confirmed;
    private int trial;
    private int last;
    /** The versions whose content is kept, with its hash. */
    private final Map<Integer, String> hashes = new LinkedHashMap<>();
    /** What became of a version that was on trial when the process before this one ended; 0 for none. */
    private int interruptedTrial;

    /** The store in a directory, made if need be; the error says if another process has it. */
    public static VersionStore in(Path folder) throws IOException {
        return new VersionStore(new SystemDisk(folder));
    }

    VersionStore(Disk disk) throws IOException {
        this.disk = disk;
        try {
            load();
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void load() throws IOException {
        if (!disk.names().contains(STATE)) {
            return;
        }
        byte[] file = disk.read(STATE);
        int end = 0;
        while (end < file.length && file[end] != '\n') {
            end++;
        }
        byte[] body = Arrays.copyOfRange(file, Math.min(file.length, end + 1), file.length);
        if (!hash(body).equals(new String(file, 0, end, StandardCharsets.UTF_8))) {
            throw new IOException(STATE
                    + " is damaged: its checksum is another; put back a copy of the directory,"
                    + " or move it away to begin with the operator file");
        }
        JsonNode state = JSON.readTree(body);
        confirmed = state.path("confirmed").asInt();
        interruptedTrial = state.path("trial").asInt();
        last = state.path("last").asInt();
        state.path("hashes")
                .properties()
                .forEach(e ->
                        hashes.put(Integer.parseInt(e.getKey()), e.getValue().asText()));
    }

    /** The version to serve; 0 if none was ever confirmed. */
    public int confirmed() {
        return confirmed;
    }

    /** The version that was on trial when the process before ended, and is undone by that; 0 for none. */
    public int interruptedTrial() {
        return interruptedTrial;
    }

    /** The content of a version; the error says if it is not what was written. */
    public byte[] content(int version) throws IOException {
        byte[] bytes = disk.read(name(version));
        if (!hash(bytes).equals(hashes.get(version))) {
            throw new IOException(name(version) + " is damaged: its checksum is another");
        }
        return bytes;
    }

    /** Writes a version's content for good and gives it its number. */
    public int stage(byte[] content) throws IOException {
        int version = last + 1;
        replace(name(version), content);
        hashes.put(version, hash(content));
        last = version;
        prune();
        try {
            save(confirmed, trial);
        } catch (IOException e) {
            hashes.remove(version);
            last = version - 1;
            throw e;
        }
        return version;
    }

    /** Writes that a version is on trial; 0 for none. */
    public void markOnTrial(int version) throws IOException {
        save(confirmed, version);
        trial = version;
    }

    /** Writes that a version is the one to serve. */
    public void confirm(int version) throws IOException {
        save(version, 0);
        confirmed = version;
        trial = 0;
    }

    private void save(int nowConfirmed, int nowTrial) throws IOException {
        ObjectNode state = JSON.createObjectNode()
                .put("confirmed", nowConfirmed)
                .put("trial", nowTrial)
                .put("last", last);
        ObjectNode kept = state.putObject("hashes");
        hashes.forEach((version, hash) -> kept.put(Integer.toString(version), hash));
        byte[] body = JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(state);
        byte[] head = (hash(body) + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] file = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, file, head.length, body.length);
        replace(STATE, file);
    }

    private void replace(String name, byte[] bytes) throws IOException {
        try {
            disk.write(name + NEW, bytes);
            disk.sync(name + NEW);
            disk.rename(name + NEW, name);
            disk.syncDirectory();
        } catch (IOException e) {
            throw new IOException(name + " could not be written: " + e.getMessage(), e);
        }
    }

    /** Deletes what no longer can be served; that it fails does no harm. */
    private void prune() {
        for (int version : List.copyOf(hashes.keySet())) {
            if (version > last - KEPT || version == confirmed || version == trial) {
                continue;
            }
            hashes.remove(version);
            try {
                disk.delete(name(version));
            } catch (IOException e) {
                // It takes some room, no more.
            }
        }
    }

    static String name(int version) {
        return String.format("v%06d.toml", version);
    }

    private static String hash(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    @Override
    public void close() throws IOException {
        if (disk instanceof AutoCloseable open) {
            try {
                open.close();
            } catch (IOException e) {
                throw e;
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
    }
}
