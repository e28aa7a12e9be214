package sablehinge.controlplane.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.h2.store.fs.FileBaseDefault;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * A folder whose files get what was written when they are synced, and new names when the folder is; until then both are
 * in this process only. So the process's end by force takes what a loss of power would take at the most, and one in the
 * middle of a sync leaves it in part.
 */
final class UnsyncedDisk implements Disk {

    private static final String SCHEME = "unsynced";
    private final Disk base;
    /** Names that were given since the last sync, by new name: where the file still is. */
    private final Map<String, String> renamed = new LinkedHashMap<>();

    static {
        FilePath.register(new Unsynced());
    }

    UnsyncedDisk(Path folder) throws IOException {
        base = new SystemDisk(folder);
    }

    @Override
    public String file(String name) {
        return SCHEME + ":" + base.file(renamed.getOrDefault(name, name));
    }

    @Override
    public boolean has(String name) throws IOException {
        return renamed.containsKey(name) || base.has(name) && !renamed.containsValue(name);
    }

    @Override
    public void rename(String from, String to) {
        renamed.put(to, from);
    }

    /** At once: of a name that was removed and not synced, either may be found after a loss of power. */
    @Override
    public void delete(String name) throws IOException {
        base.delete(name);
    }

    @Override
    public void sync() throws IOException {
        for (Map.Entry<String, String> one : renamed.entrySet()) {
            base.rename(one.getValue(), one.getKey());
        }
        renamed.clear();
        base.sync();
    }

    /** H2's way to these files; public as H2 makes it by reflection. */
    public static final class Unsynced extends FilePathWrapper {

        /** For H2. */
        public Unsynced() {}

        @Override
        public String getScheme() {
            return SCHEME;
        }

        @Override
        public FileChannel open(String mode) throws IOException {
            return new Held(getBase().open(mode));
        }
    }

    /** A write, or with null a new length. */
    private record Step(long at, byte[] bytes) {}

    /** A file's bytes as this process sees them, and what was done to them since they were synced. */
    private static final class Held extends FileBaseDefault {

        private final FileChannel base;
        private final List<Step> steps = new ArrayList<>();
        private byte[] seen;

        Held(FileChannel base) throws IOException {
            this.base = base;
            ByteBuffer all = ByteBuffer.allocate((int) base.size());
            while (all.hasRemaining() && base.read(all, all.position()) >= 0) {
                // Until all is read.
            }
            seen = all.array();
        }

        @Override
        public long size() {
            return seen.length;
        }

        @Override
        public int read(ByteBuffer to, long position) {
            if (position >= seen.length) {
                return -1;
            }
            int length = (int) Math.min(to.remaining(), seen.length - position);
            to.put(seen, (int) position, length);
            return length;
        }

        @Override
        public int write(ByteBuffer from, long position) {
            byte[] bytes = new byte[from.remaining()];
            from.get(bytes);
            int end = (int) position + bytes.length;
            if (end > seen.length) {
                seen = Arrays.copyOf(seen, end);
            }
            System.arraycopy(bytes, 0, seen, (int) position, bytes.length);
            steps.add(new Step(position, bytes));
            return bytes.length;
        }

        @Override
        protected void implTruncate(long size) {
            seen = Arrays.copyOf(seen, (int) Math.min(size, seen.length));
            steps.add(new Step(size, null));
        }

        @Override
        public void force(boolean metadata) throws IOException {
            for (Step step : steps) {
                if (step.bytes == null) {
                    base.truncate(step.at);
                    continue;
                }
                ByteBuffer bytes = ByteBuffer.wrap(step.bytes);
                while (bytes.hasRemaining()) {
                    base.write(bytes, step.at + bytes.position());
                }
            }
            steps.clear();
            base.force(metadata);
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) throws IOException {
            return base.tryLock(position, size, shared);
        }

        /** What was not synced goes, as it would with the power. */
        @Override
        protected void implCloseChannel() throws IOException {
            base.close();
        }
    }
}
