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
 * Versions of the configuration on disk. The content of each version is a separate, immutable file. One small state
 * file records which version is confirmed and which is on trial; it is replaced atomically by write, sync, rename and
 * sync of the directory, so that a crash at any point leaves either its old or its new content.
 */
public final class VersionStore implements AutoCloseable {

    private static final String STATE_FILE = "state.json";
    private static final String NEW_FILE_SUFFIX = ".new";
    /** Number of newest versions that are retained, in addition to the confirmed version and the one on trial. */
    private static final int MAX_RETAINED_VERSIONS = 40;

    private static final JsonMapper JSON = new JsonMapper();

    private final Disk disk;
    private int confirmed;
    private int trial;
    private int last;
    /** Hash of the content of each retained version. */
    private final Map<Integer, String> hashes = new LinkedHashMap<>();
    /** The version that was on trial when the previous process ended; 0 for none. */
    private int interruptedTrial;

    /** Opens the store in a directory, which is created if necessary. Fails if another process uses the directory. */
    public static VersionStore in(Path directory) throws IOException {
        return new VersionStore(new SystemDisk(directory));
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
        if (!disk.names().contains(STATE_FILE)) {
            return;
        }
        byte[] file = disk.read(STATE_FILE);
        int end = 0;
        while (end < file.length && file[end] != '\n') {
            end++;
        }
        byte[] body = Arrays.copyOfRange(file, Math.min(file.length, end + 1), file.length);
        if (!hash(body).equals(new String(file, 0, end, StandardCharsets.UTF_8))) {
            throw new IOException(STATE_FILE
                    + " is damaged: checksum mismatch; restore a copy of the directory,"
                    + " or move it away to start with the operator file");
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

    /** Returns the version to serve; 0 if none was ever confirmed. */
    public int confirmed() {
        return confirmed;
    }

    /** Returns the version whose trial ended with the previous process, which reverts it; 0 for none. */
    public int interruptedTrial() {
        return interruptedTrial;
    }

    /** Returns the content of a version. Fails if its checksum differs from the one recorded when it was written. */
    public byte[] content(int version) throws IOException {
        byte[] bytes = disk.read(name(version));
        if (!hash(bytes).equals(hashes.get(version))) {
            throw new IOException(name(version) + " is damaged: checksum mismatch");
        }
        return bytes;
    }

    /** Writes the content of a new version durably and returns its number. */
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

    /** Records durably that a version is on trial; 0 for none. */
    public void markOnTrial(int version) throws IOException {
        save(confirmed, version);
        trial = version;
    }

    /** Records durably that a version is confirmed, which is then the one to serve. */
    public void confirm(int version) throws IOException {
        save(version, 0);
        confirmed = version;
        trial = 0;
    }

    private void save(int newConfirmed, int newTrial) throws IOException {
        ObjectNode state = JSON.createObjectNode()
                .put("confirmed", newConfirmed)
                .put("trial", newTrial)
                .put("last", last);
        ObjectNode hashesNode = state.putObject("hashes");
        hashes.forEach((version, hash) -> hashesNode.put(Integer.toString(version), hash));
        byte[] body = JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(state);
        byte[] header = (hash(body) + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] file = Arrays.copyOf(header, header.length + body.length);
        System.arraycopy(body, 0, file, header.length, body.length);
        replace(STATE_FILE, file);
    }

    private void replace(String name, byte[] bytes) throws IOException {
        try {
            disk.write(name + NEW_FILE_SUFFIX, bytes);
            disk.sync(name + NEW_FILE_SUFFIX);
            disk.rename(name + NEW_FILE_SUFFIX, name);
            disk.syncDirectory();
        } catch (IOException e) {
            throw new IOException(name + " could not be written: " + e.getMessage(), e);
        }
    }

    /** Deletes the versions that are no longer retained. A failed deletion is harmless. */
    private void prune() {
        for (int version : List.copyOf(hashes.keySet())) {
            if (version > last - MAX_RETAINED_VERSIONS || version == confirmed || version == trial) {
                continue;
            }
            hashes.remove(version);
            try {
                disk.delete(name(version));
            } catch (IOException e) {
                // The file only occupies disk space.
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
        if (disk instanceof AutoCloseable closeable) {
            try {
                closeable.close();
            } catch (IOException e) {
                throw e;
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
    }
}
