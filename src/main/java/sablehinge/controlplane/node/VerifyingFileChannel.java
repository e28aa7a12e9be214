package sablehinge.controlplane.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.util.ArrayList;
import java.util.List;
import org.h2.store.fs.FileBase;

/**
 * A file of MVStore whose chunks are sealed, and are mended before MVStore reads them.
 *
 * <p>MVStore takes a chunk for complete if its first and its last bytes are there. A disk that loses power may have
 * written these and not what lies between. And it finds the newest chunk through a header that may be on disk when the
 * chunk is not; it then may take an older one for the newest. So when the file is locked and before MVStore reads it,
 * this looks for the newest chunk that is complete, takes the footer from one after it, which the power cut off, and
 * lets the header point to the newest. As each commit is synced before the next, only the last may be torn.
 */
final class VerifyingFileChannel extends FileBase {

    private static final int HEADER = 2 * ChunkFooter.BLOCK;
    private static final int STEP = 64 * ChunkFooter.BLOCK;

    private final FileChannel base;
    private long version = -1;
    private boolean isRecovering;

    VerifyingFileChannel(FileChannel base) {
        this.base = base;
    }

    /** The version of the newest commit that was complete when the file was locked; -1 if the file was empty. */
    long version() {
        return version;
    }

    /** Whether it was last heard of as it wrote what it mends. */
    boolean isRecovering() {
        return isRecovering;
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) throws IOException {
        FileLock lock = base.tryLock(position, size, shared);
        if (lock != null && size() > 0) {
            recoverLastCommit();
        }
        return lock;
    }

    private void recoverLastCommit() throws IOException {
        List<ChunkFooter> seals = seals();
        seals.sort((a, b) -> Long.compare(b.version(), a.version()));
        List<ChunkFooter> torn = new ArrayList<>();
        ChunkFooter newest = null;
        for (ChunkFooter footer : seals) {
            if (isIntact(footer)) {
                newest = footer;
                break;
            }
            torn.add(footer);
        }
        if (newest == null) {
            throw new CorruptStoreException("no commit in it is whole");
        }
        if (!torn.isEmpty() && torn.get(0).version() > newest.version() + 1) {
            throw new CorruptStoreException(
                    "commits " + newest.version() + " to " + torn.get(0).version() + " are not whole");
        }
        isRecovering = true;
        for (ChunkFooter footer : torn) {
            if (footer.version() == newest.version() + 1) {
                put(ByteBuffer.allocate(ChunkFooter.LENGTH), end(footer) - ChunkFooter.LENGTH);
            }
        }
        // What is read may not be on disk: the process that wrote it ended before its sync, or the sync
        // failed, and a system that has failed once to write a page may take it for written. So it is
        // written anew, the same bytes in the same place. What came before was synced before it was begun.
        put(chunk(newest), newest.block() * ChunkFooter.BLOCK);
        put(header(newest), 0);
        base.force(true);
        isRecovering = false;
        version = newest.version();
    }

    private static long end(ChunkFooter footer) {
        return (footer.block() + footer.blocks()) * ChunkFooter.BLOCK;
    }

    /** All seals in the file, those of chunks that were given up and in part written over, too. */
    private List<ChunkFooter> seals() throws IOException {
        List<ChunkFooter> seals = new ArrayList<>();
        ByteBuffer step = ByteBuffer.allocate(STEP);
        byte[] tail = new byte[ChunkFooter.LENGTH];
        long blocks = size() / ChunkFooter.BLOCK;
        for (long block = 2; block < blocks; block += STEP / ChunkFooter.BLOCK) {
            step.clear().limit((int) Math.min(STEP, (blocks - block) * ChunkFooter.BLOCK));
            fill(step, block * ChunkFooter.BLOCK);
            for (int end = ChunkFooter.BLOCK; end <= step.limit(); end += ChunkFooter.BLOCK) {
                if (ChunkFooter.chunk(step, end - ChunkFooter.LENGTH)) {
                    step.get(end - ChunkFooter.LENGTH, tail);
                    ChunkFooter footer = ChunkFooter.read(tail, block + end / ChunkFooter.BLOCK);
                    if (footer != null) {
                        seals.add(footer);
                    }
                }
            }
        }
        return seals;
    }

    /** Whether a chunk is in the file as it was written. */
    boolean isIntact(ChunkFooter footer) throws IOException {
        ByteBuffer chunk = chunk(footer);
        return ChunkFooter.chunk(chunk, 0) && ChunkFooter.crc(chunk) == footer.crc();
    }

    private ByteBuffer chunk(ChunkFooter footer) throws IOException {
        ByteBuffer chunk = ByteBuffer.allocate(footer.blocks() * ChunkFooter.BLOCK);
        fill(chunk, footer.block() * ChunkFooter.BLOCK);
        return chunk;
    }

    /** Whether the chunk of that number is at a place, and is as it was written. */
    boolean isIntact(long block, int blocks, int id) throws IOException {
        if (block < 2 || blocks < 1 || (block + blocks) * ChunkFooter.BLOCK > size()) {
            return false;
        }
        ByteBuffer tail = ByteBuffer.allocate(ChunkFooter.LENGTH);
        fill(tail, (block + blocks) * ChunkFooter.BLOCK - ChunkFooter.LENGTH);
        ChunkFooter footer = ChunkFooter.read(tail.array(), block + blocks);
        return footer != null && footer.id() == id && footer.blocks() == blocks && isIntact(footer);
    }

    private void fill(ByteBuffer bytes, long position) throws IOException {
        while (bytes.hasRemaining()) {
            int read = base.read(bytes, position + bytes.position());
            if (read < 0) {
                throw new CorruptStoreException("it ends at " + size());
            }
        }
        bytes.flip();
    }

    /** MVStore's header, twice. Its time of creation matters to nothing that this store uses. */
    private static ByteBuffer header(ChunkFooter newest) {
        byte[] copy = ChunkFooter.checked("H:2,block:" + Long.toHexString(newest.block()) + ",blockSize:1000,chunk:"
                + Integer.toHexString(newest.id()) + ",created:1,format:3,version:"
                + Long.toHexString(newest.version()));
        ByteBuffer header = ByteBuffer.allocate(HEADER);
        header.put(0, copy).put(copy.length, (byte) '\n');
        header.put(ChunkFooter.BLOCK, copy).put(ChunkFooter.BLOCK + copy.length, (byte) '\n');
        return header;
    }

    @Override
    public int write(ByteBuffer bytes, long position) throws IOException {
        if (position >= HEADER
                && position % ChunkFooter.BLOCK == 0
                && bytes.remaining() >= ChunkFooter.BLOCK
                && ChunkFooter.chunk(bytes, bytes.position())) {
            ChunkFooter.set(bytes);
        }
        return put(bytes, position);
    }

    private int put(ByteBuffer bytes, long position) throws IOException {
        int all = 0;
        while (bytes.hasRemaining()) {
            all += base.write(bytes, position + all);
        }
        return all;
    }

    @Override
    public int read(ByteBuffer bytes, long position) throws IOException {
        return base.read(bytes, position);
    }

    @Override
    public int read(ByteBuffer bytes) throws IOException {
        return base.read(bytes);
    }

    @Override
    public int write(ByteBuffer bytes) throws IOException {
        return base.write(bytes);
    }

    @Override
    public long position() throws IOException {
        return base.position();
    }

    @Override
    public FileChannel position(long position) throws IOException {
        base.position(position);
        return this;
    }

    @Override
    public long size() throws IOException {
        return base.size();
    }

    @Override
    public FileChannel truncate(long size) throws IOException {
        base.truncate(size);
        return this;
    }

    @Override
    public void force(boolean metadata) throws IOException {
        base.force(metadata);
    }

    @Override
    protected void implCloseChannel() throws IOException {
        base.close();
    }
}
