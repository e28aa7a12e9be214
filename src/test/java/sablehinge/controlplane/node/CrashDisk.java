package sablehinge.controlplane.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.h2.store.fs.FileBaseDefault;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * A folder in memory that can lose power at each write, sync, rename and opening, can refuse them for a while, and can
 * be full. A sync that was refused loses what it covered, though it can still be read, and later syncs say nothing of
 * it.
 */
final class CrashDisk implements Disk {

    /** A file's bytes as a program sees them, those on disk, and what was done since the last sync. */
    private static final class Body {
        private byte[] seen = new byte[0];
        private byte[] synced = new byte[0];
        private final List<Op> ops = new ArrayList<>();
        private boolean locked;
    }

    /** A write, or with null a new length. */
    private record Op(long at, byte[] bytes) {}

    /** A file got a name, lost one, or both; {@code gone} or {@code body} is null for none. */
    private record NameStep(String gone, String name, Body body) {

        void onto(Map<String, Body> names) {
            if (gone != null) {
                names.remove(gone);
            }
            if (body != null) {
                names.put(name, body);
            }
        }
    }

    static {
        FilePath.register(new MemoryPath());
    }

    private static CrashDisk current;

    private Map<String, Body> names = new HashMap<>();
    private Map<String, Body> syncedNames = new HashMap<>();
    private final List<NameStep> nameSteps = new ArrayList<>();
    int steps;
    int forces;
    long writtenBytes;
    /** The step at which the power goes; it takes place or it doesn't, by {@code after}. */
    int dieAt = Integer.MAX_VALUE;

    boolean after;
    boolean dead;
    long room = Long.MAX_VALUE;
    /** Steps from the one up to before the other are refused: in part done, of a sync some pages lost. */
    int refuseFrom = Integer.MAX_VALUE;

    int refuseTo = Integer.MAX_VALUE;
    boolean refusing;
    /** Steps that shorten a file and were refused; MVStore takes ten such steps before it gives up. */
    int refusedTruncations;

    private final Random random;

    CrashDisk(long seed) {
        random = new Random(seed);
        after = random.nextBoolean();
        current = this;
    }

    private void step() throws IOException {
        if (dead) {
            throw new IOException("no power");
        }
        if (++steps == dieAt) {
            dead = true;
            if (!after) {
                throw new IOException("no power");
            }
        }
        refusing = steps >= refuseFrom && steps < refuseTo;
    }

    /** A step that is refused does nothing. */
    private void all() throws IOException {
        step();
        if (refusing) {
            throw new IOException("refused");
        }
    }

    private void done() throws IOException {
        if (dead) {
            throw new IOException("no power");
        }
    }

    /** The power is back; of what was not synced, some is there. */
    void powerUp() {
        names = new HashMap<>(syncedNames);
        // Each that was not synced is kept or lost by itself, whatever became of those before it.
        int mode = random.nextInt(4);
        for (NameStep step : nameSteps) {
            if (mode == 0 || mode > 1 && random.nextBoolean()) {
                step.onto(names);
            }
        }
        syncedNames = new HashMap<>(names);
        nameSteps.clear();
        for (Body body : names.values()) {
            int torn = random.nextInt(4);
            byte[] bytes = body.synced;
            for (Op op : body.ops) {
                int fate = torn == 0 ? 0 : torn == 1 ? 1 : random.nextInt(4);
                bytes = fate == 0 ? bytes : applied(bytes, op, fate);
            }
            body.synced = bytes;
            body.seen = bytes.clone();
            body.ops.clear();
            body.locked = false;
        }
        dead = false;
        dieAt = Integer.MAX_VALUE;
        refuseFrom = Integer.MAX_VALUE;
        current = this;
    }

    /** Fate 1 is all of it, 2 its beginning, 3 some sectors. */
    private byte[] applied(byte[] bytes, Op op, int fate) {
        if (op.bytes == null) {
            return Arrays.copyOf(bytes, (int) Math.min(op.at, bytes.length));
        }
        int length = fate == 2 ? random.nextInt(op.bytes.length + 1) : op.bytes.length;
        byte[] result = Arrays.copyOf(bytes, (int) Math.max(bytes.length, op.at + length));
        for (int from = 0; from < length; from += 512) {
            if (fate != 3 || random.nextInt(4) != 0) {
                System.arraycopy(op.bytes, from, result, (int) op.at + from, Math.min(512, length - from));
            }
        }
        return result;
    }

    private void take(NameStep step) {
        step.onto(names);
        nameSteps.add(step);
    }

    byte[] bytes(String name) {
        return names.get(name).seen;
    }

    void bytes(String name, byte[] bytes) {
        Body body = names.computeIfAbsent(name, none -> new Body());
        body.seen = bytes;
        body.synced = bytes.clone();
    }

    @Override
    public String file(String name) {
        return "crash:" + name;
    }

    @Override
    public boolean has(String name) {
        return names.containsKey(name);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        all();
        take(new NameStep(from, to, names.get(from)));
        done();
    }

    @Override
    public void delete(String name) throws IOException {
        if (names.containsKey(name)) {
            all();
            take(new NameStep(name, null, null));
            done();
        }
    }

    @Override
    public void sync() throws IOException {
        all();
        syncedNames = new HashMap<>(names);
        nameSteps.clear();
        done();
    }

    /** H2's way to these files; public as H2 makes it by reflection. */
    public static final class MemoryPath extends FilePathWrapper {
        public MemoryPath() {}

        @Override
        public String getScheme() {
            return "crash";
        }

        @Override
        public boolean exists() {
            return current.names.containsKey(name.substring(6));
        }

        @Override
        public boolean canWrite() {
            return true;
        }

        @Override
        public FilePath getParent() {
            return null;
        }

        @Override
        public FileChannel open(String mode) throws IOException {
            String file = name.substring(6);
            current.all();
            if (!current.names.containsKey(file)) {
                current.take(new NameStep(null, file, new Body()));
            }
            current.done();
            return new Memory(current, current.names.get(file));
        }
    }

    private static final class Memory extends FileBaseDefault {
        private final CrashDisk disk;
        private final Body body;

        Memory(CrashDisk disk, Body body) {
            this.disk = disk;
            this.body = body;
        }

        @Override
        public long size() {
            return body.seen.length;
        }

        @Override
        public int read(ByteBuffer to, long position) {
            if (position >= body.seen.length) {
                return -1;
            }
            int length = (int) Math.min(to.remaining(), body.seen.length - position);
            to.put(body.seen, (int) position, length);
            return length;
        }

        @Override
        public int write(ByteBuffer from, long position) throws IOException {
            disk.step();
            byte[] bytes = new byte[from.remaining()];
            from.get(bytes);
            if (disk.refusing) {
                put(new Op(position, Arrays.copyOf(bytes, disk.random.nextInt(bytes.length + 1))));
                throw new IOException("refused");
            }
            if (position + bytes.length > disk.room) {
                int fits = (int) Math.max(0, disk.room - position);
                put(new Op(position, Arrays.copyOf(bytes, fits)));
                throw new IOException("No space left on device");
            }
            put(new Op(position, bytes));
            disk.writtenBytes += bytes.length;
            disk.done();
            return bytes.length;
        }

        private void put(Op op) {
            int end = (int) op.at + op.bytes.length;
            if (end > body.seen.length) {
                body.seen = Arrays.copyOf(body.seen, end);
            }
            System.arraycopy(op.bytes, 0, body.seen, (int) op.at, op.bytes.length);
            body.ops.add(op);
        }

        @Override
        protected void implTruncate(long size) throws IOException {
            disk.step();
            if (disk.refusing) {
                disk.refusedTruncations++;
                throw new IOException("refused");
            }
            body.seen = Arrays.copyOf(body.seen, (int) Math.min(size, body.seen.length));
            body.ops.add(new Op(size, null));
            disk.done();
        }

        @Override
        public void force(boolean metadata) throws IOException {
            disk.step();
            disk.forces++;
            if (disk.refusing) {
                body.ops.removeIf(op -> op.bytes != null && disk.random.nextInt(3) != 0);
                throw new IOException("refused");
            }
            for (Op op : body.ops) {
                if (op.bytes == null) {
                    body.synced = Arrays.copyOf(body.synced, (int) Math.min(op.at, body.synced.length));
                } else {
                    int end = (int) op.at + op.bytes.length;
                    if (end > body.synced.length) {
                        body.synced = Arrays.copyOf(body.synced, end);
                    }
                    System.arraycopy(op.bytes, 0, body.synced, (int) op.at, op.bytes.length);
                }
            }
            body.ops.clear();
            disk.done();
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) {
            if (body.locked) {
                return null;
            }
            body.locked = true;
            return new FileLock(this, position, size, shared) {
                @Override
                public boolean isValid() {
                    return true;
                }

                @Override
                public void release() {
                    body.locked = false;
                }
            };
        }

        @Override
        protected void implCloseChannel() {
            body.locked = false;
        }
    }
}
