package sablehinge.controlplane.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.util.ArrayList;
import java.util.List;
import org.h2.store.fs.FileBase;

/**
 * A file of MVStore whose chunks are sealed with a checksum, and which is recovered before MVStore reads it.
 *
 * <p>MVStore considers a chunk complete if its first and last bytes are there, but a disk that loses power may have
 * written these and not the bytes between them. MVStore also finds the newest chunk through a header that may be on
 * disk without the chunk, and may then use an older chunk as the newest. Therefore, when the file is locked and before
 * MVStore reads it, this class finds the newest complete chunk, erases the footer of a torn chunk after it, and
 * rewrites the header to point to the newest complete chunk. Each commit is synced before the next one, so only the
 * last commit can be torn.
 */
final class VerifyingFileChannel extends FileBase {

    private static final int HEADER_BYTES = 2 * ChunkFooter.BLOCK_BYTES;
    private static final int SCAN_BYTES = 64 * ChunkFooter.BLOCK_BYTES;

    private final FileChannel base;
    private long version = -1;
    private boolean isRecovering;

    VerifyingFileChannel(FileChannel base) {
        this.base = base;
    }

    /** The version of the newest complete commit when the file was locked; -1 if the file was empty. */
    long version() {
        return version;
    }

    /** Whether recovery has begun to write and has not completed; true after a write of the recovery failed. */
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
        List<ChunkFooter> footers = findFooters();
        footers.sort((a, b) -> Long.compare(b.version(), a.version()));
        List<ChunkFooter> torn = new ArrayList<>();
        ChunkFooter newest = null;
        for (ChunkFooter footer : footers) {
            if (isIntact(footer)) {
                newest = footer;
                break;
            }
            torn.add(footer);
        }
        if (newest == null) {
            throw new CorruptStoreException("the file has no complete commit");
        }
        if (!torn.isEmpty() && torn.get(0).version() > newest.version() + 1) {
            throw new CorruptStoreException("commits after " + newest.version() + " up to "
                    + torn.get(0).version() + " are incomplete");
        }
        isRecovering = true;
        for (ChunkFooter footer : torn) {
            if (footer.version() == newest.version() + 1) {
                writeFully(ByteBuffer.allocate(ChunkFooter.LENGTH_BYTES), end(footer) - ChunkFooter.LENGTH_BYTES);
            }
        }
        // The bytes that were read may not be on disk: the process that wrote them ended before the sync, or the
        // sync failed, after which the operating system may treat the dirty pages as clean. So the same bytes are
        // written again to the same place. Earlier commits were synced before this one began.
        writeFully(chunk(newest), newest.block() * ChunkFooter.BLOCK_BYTES);
        writeFully(header(newest), 0);
        base.force(true);
        isRecovering = false;
        version = newest.version();
    }

    private static long end(ChunkFooter footer) {
        return (footer.block() + footer.blocks()) * ChunkFooter.BLOCK_BYTES;
    }

    /** All sealed footers in the file, including those of obsolete chunks that are partly overwritten. */
    private List<ChunkFooter> findFooters() throws IOException {
        List<ChunkFooter> footers = new ArrayList<>();
        ByteBuffer scanned = ByteBuffer.allocate(SCAN_BYTES);
        byte[] tail = new byte[ChunkFooter.LENGTH_BYTES];
        long blocks = size() / ChunkFooter.BLOCK_BYTES;
        for (long block = 2; block < blocks; block += SCAN_BYTES / ChunkFooter.BLOCK_BYTES) {
            scanned.clear().limit((int) Math.min(SCAN_BYTES, (blocks - block) * ChunkFooter.BLOCK_BYTES));
            readFully(scanned, block * ChunkFooter.BLOCK_BYTES);
            for (int end = ChunkFooter.BLOCK_BYTES; end <= scanned.limit(); end += ChunkFooter.BLOCK_BYTES) {
                if (ChunkFooter.startsWithChunkHeader(scanned, end - ChunkFooter.LENGTH_BYTES)) {
                    scanned.get(end - ChunkFooter.LENGTH_BYTES, tail);
                    ChunkFooter footer = ChunkFooter.parse(tail, block + end / ChunkFooter.BLOCK_BYTES);
                    if (footer != null) {
                        footers.add(footer);
                    }
                }
            }
        }
        return footers;
    }

    /** Whether a footer's chunk is in the file and has the right checksum. */
    boolean isIntact(ChunkFooter footer) throws IOException {
        ByteBuffer chunk = chunk(footer);
        return ChunkFooter.startsWithChunkHeader(chunk, 0) && ChunkFooter.crc(chunk) == footer.crc();
    }

    private ByteBuffer chunk(ChunkFooter footer) throws IOException {
        ByteBuffer chunk = ByteBuffer.allocate(footer.blocks() * ChunkFooter.BLOCK_BYTES);
        readFully(chunk, footer.block() * ChunkFooter.BLOCK_BYTES);
        return chunk;
    }

    /** Whether the chunk with the given id is at a position and has the right checksum. */
    boolean isIntact(long block, int blocks, int id) throws IOException {
        if (block < 2 || blocks < 1 || (block + blocks) * ChunkFooter.BLOCK_BYTES > size()) {
            return false;
        }
        ByteBuffer tail = ByteBuffer.allocate(ChunkFooter.LENGTH_BYTES);
        readFully(tail, (block + blocks) * ChunkFooter.BLOCK_BYTES - ChunkFooter.LENGTH_BYTES);
        ChunkFooter footer = ChunkFooter.parse(tail.array(), block + blocks);
        return footer != null && footer.id() == id && footer.blocks() == blocks && isIntact(footer);
    }

    private void readFully(ByteBuffer bytes, long position) throws IOException {
        while (bytes.hasRemaining()) {
            int read = base.read(bytes, position + bytes.position());
            if (read < 0) {
                throw new CorruptStoreException("unexpected end of file at " + size());
            }
        }
        bytes.flip();
    }

    /** MVStore's header in two copies. This store uses nothing that depends on the time of creation. */
    private static ByteBuffer header(ChunkFooter newest) {
        byte[] copy =
                ChunkFooter.withChecksum("H:2,block:" + Long.toHexString(newest.block()) + ",blockSize:1000,chunk:"
                        + Integer.toHexString(newest.id()) + ",created:1,format:3,version:"
                        + Long.toHexString(newest.version()));
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.put(0, copy).put(copy.length, (byte) '\n');
        header.put(ChunkFooter.BLOCK_BYTES, copy).put(ChunkFooter.BLOCK_BYTES + copy.length, (byte) '\n');
        return header;
    }

    @Override
    public int write(ByteBuffer bytes, long position) throws IOException {
        if (position >= HEADER_BYTES
                && position % ChunkFooter.BLOCK_BYTES == 0
                && bytes.remaining() >= ChunkFooter.BLOCK_BYTES
                && ChunkFooter.startsWithChunkHeader(bytes, bytes.position())) {
            ChunkFooter.seal(bytes);
        }
        return writeFully(bytes, position);
    }

    private int writeFully(ByteBuffer bytes, long position) throws IOException {
        int written = 0;
        while (bytes.hasRemaining()) {
            written += base.write(bytes, position + written);
        }
        return written;
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
