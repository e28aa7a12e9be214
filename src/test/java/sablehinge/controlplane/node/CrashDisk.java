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
 * A directory in memory that can lose power at each write, sync, rename and opening, can fail these for a while, and
 * can be full. A failed sync loses some of the writes that it covered: they can still be read, and later syncs succeed
 * without them.
 */
final class CrashDisk implements Disk {

    /** A file's bytes as a program reads them, the bytes on disk, and the operations since the last sync. */
    private static final class FileContent {
        private byte[] visible = new byte[0];
        private byte[] synced = new byte[0];
        private final List<Op> unsyncedOps = new ArrayList<>();
        private boolean locked;
    }

    /** A write, or a truncation if {@code bytes} is null. */
    private record Op(long at, byte[] bytes) {}

    /**
     * A creation, deletion or renaming of a file; {@code removedName} or {@code content} is null if it doesn't apply.
     */
    private record NameChange(String removedName, String name, FileContent content) {

        void applyTo(Map<String, FileContent> names) {
            if (removedName != null) {
                names.remove(removedName);
            }
            if (content != null) {
                names.put(name, content);
            }
        }
    }

    static {
        FilePath.register(new MemoryPath());
    }

    private static CrashDisk current;

    private Map<String, FileContent> names = new HashMap<>();
    private Map<String, FileContent> syncedNames = new HashMap<>();
    private final List<NameChange> unsyncedNameChanges = new ArrayList<>();
    int steps;
    int forces;
    long writtenBytes;
    /** The step at which power is lost; {@code completesLastStep} tells whether the step still takes place. */
    int powerLossAt = Integer.MAX_VALUE;

    boolean completesLastStep;
    boolean powerLost;
    long capacityBytes = Long.MAX_VALUE;
    /** Steps from this one to before {@code failTo} fail: writes are done in part, and syncs lose some writes. */
    int failFrom = Integer.MAX_VALUE;

    int failTo = Integer.MAX_VALUE;
    boolean failing;
    /** The number of failed truncations; MVStore makes ten attempts before it gives up. */
    int failedTruncations;

    private final Random random;

    CrashDisk(long seed) {
        random = new Random(seed);
        completesLastStep = random.nextBoolean();
        current = this;
    }

    private void step() throws IOException {
        if (powerLost) {
            throw new IOException("no power");
        }
        if (++steps == powerLossAt) {
            powerLost = true;
            if (!completesLastStep) {
                throw new IOException("no power");
            }
        }
        failing = steps >= failFrom && steps < failTo;
    }

    /** A step that has no effect if it fails. */
    private void stepWithoutEffectOnFailure() throws IOException {
        step();
        if (failing) {
            throw new IOException("injected failure");
        }
    }

    private void checkPower() throws IOException {
        if (powerLost) {
            throw new IOException("no power");
        }
    }

    /** Restores power; a random part of the unsynced operations is on disk. */
    void powerUp() {
        names = new HashMap<>(syncedNames);
        // Each unsynced name change survives or is lost independently of the earlier ones.
        int mode = random.nextInt(4);
        for (NameChange step : unsyncedNameChanges) {
            if (mode == 0 || mode > 1 && random.nextBoolean()) {
                step.applyTo(names);
            }
        }
        syncedNames = new HashMap<>(names);
        unsyncedNameChanges.clear();
        for (FileContent content : names.values()) {
            int tornMode = random.nextInt(4);
            byte[] bytes = content.synced;
            for (Op op : content.unsyncedOps) {
                int fate = tornMode == 0 ? 0 : tornMode == 1 ? 1 : random.nextInt(4);
                bytes = fate == 0 ? bytes : applied(bytes, op, fate);
            }
            content.synced = bytes;
            content.visible = bytes.clone();
            content.unsyncedOps.clear();
            content.locked = false;
        }
        powerLost = false;
        powerLossAt = Integer.MAX_VALUE;
        failFrom = Integer.MAX_VALUE;
        current = this;
    }

    /** Applies an operation: fate 1 is all of it, 2 its beginning, 3 some sectors. */
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

    private void change(NameChange step) {
        step.applyTo(names);
        unsyncedNameChanges.add(step);
    }

    byte[] bytes(String name) {
        return names.get(name).visible;
    }

    void bytes(String name, byte[] bytes) {
        FileContent content = names.computeIfAbsent(name, none -> new FileContent());
        content.visible = bytes;
        content.synced = bytes.clone();
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
        stepWithoutEffectOnFailure();
        change(new NameChange(from, to, names.get(from)));
        checkPower();
    }

    @Override
    public void delete(String name) throws IOException {
        if (names.containsKey(name)) {
            stepWithoutEffectOnFailure();
            change(new NameChange(name, null, null));
            checkPower();
        }
    }

    @Override
    public void sync() throws IOException {
        stepWithoutEffectOnFailure();
        syncedNames = new HashMap<>(names);
        unsyncedNameChanges.clear();
        checkPower();
    }

    /** Opens these files for H2; public because H2 creates instances by reflection. */
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
            current.stepWithoutEffectOnFailure();
            if (!current.names.containsKey(file)) {
                current.change(new NameChange(null, file, new FileContent()));
            }
            current.checkPower();
            return new Memory(current, current.names.get(file));
        }
    }

    private static final class Memory extends FileBaseDefault {
        private final CrashDisk disk;
        private final FileContent content;

        Memory(CrashDisk disk, FileContent content) {
            this.disk = disk;
            this.content = content;
        }

        @Override
        public long size() {
            return content.visible.length;
        }

        @Override
        public int read(ByteBuffer to, long position) {
            if (position >= content.visible.length) {
                return -1;
            }
            int length = (int) Math.min(to.remaining(), content.visible.length - position);
            to.put(content.visible, (int) position, length);
            return length;
        }

        @Override
        public int write(ByteBuffer from, long position) throws IOException {
            disk.step();
            byte[] bytes = new byte[from.remaining()];
            from.get(bytes);
            if (disk.failing) {
                record(new Op(position, Arrays.copyOf(bytes, disk.random.nextInt(bytes.length + 1))));
                throw new IOException("injected failure");
            }
            if (position + bytes.length > disk.capacityBytes) {
                int fits = (int) Math.max(0, disk.capacityBytes - position);
                record(new Op(position, Arrays.copyOf(bytes, fits)));
                throw new IOException("No space left on device");
            }
            record(new Op(position, bytes));
            disk.writtenBytes += bytes.length;
            disk.checkPower();
            return bytes.length;
        }

        private void record(Op op) {
            int end = (int) op.at + op.bytes.length;
            if (end > content.visible.length) {
                content.visible = Arrays.copyOf(content.visible, end);
            }
            System.arraycopy(op.bytes, 0, content.visible, (int) op.at, op.bytes.length);
            content.unsyncedOps.add(op);
        }

        @Override
        protected void implTruncate(long size) throws IOException {
            disk.step();
            if (disk.failing) {
                disk.failedTruncations++;
                throw new IOException("injected failure");
            }
            content.visible = Arrays.copyOf(content.visible, (int) Math.min(size, content.visible.length));
            content.unsyncedOps.add(new Op(size, null));
            disk.checkPower();
        }

        @Override
        public void force(boolean metadata) throws IOException {
            disk.step();
            disk.forces++;
            if (disk.failing) {
                content.unsyncedOps.removeIf(op -> op.bytes != null && disk.random.nextInt(3) != 0);
                throw new IOException("injected failure");
            }
            for (Op op : content.unsyncedOps) {
                if (op.bytes == null) {
                    content.synced = Arrays.copyOf(content.synced, (int) Math.min(op.at, content.synced.length));
                } else {
                    int end = (int) op.at + op.bytes.length;
                    if (end > content.synced.length) {
                        content.synced = Arrays.copyOf(content.synced, end);
                    }
                    System.arraycopy(op.bytes, 0, content.synced, (int) op.at, op.bytes.length);
                }
            }
            content.unsyncedOps.clear();
            disk.checkPower();
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) {
            if (content.locked) {
                return null;
            }
            content.locked = true;
            return new FileLock(this, position, size, shared) {
                @Override
                public boolean isValid() {
                    return true;
                }

                @Override
                public void release() {
                    content.locked = false;
                }
            };
        }

        @Override
        protected void implCloseChannel() {
            content.locked = false;
        }
    }
}
