package sablehinge.torture;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledHeapByteBuf;

/** Buffers that are counted until they are released; it fails as often as it is set to. */
final class Memory extends AbstractByteBufAllocator {

    private int failures;
    private int oneIn = 1;
    private long used;

    Memory() {
        super(false);
    }

    /** One in a few of so many buffers to come are not to be had. */
    void fail(int ofSoMany, int inSoFew) {
        failures = ofSoMany;
        oneIn = inSoFew;
    }

    /** Bytes of buffers that are not released. */
    long used() {
        return used;
    }

    @Override
    protected ByteBuf newHeapBuffer(int initial, int most) {
        if (failures > 0 && --failures % oneIn == 0) {
            throw new OutOfMemoryError("no memory for " + initial + " bytes: as the rig wants it");
        }
        return new Counted(this, initial, most);
    }

    @Override
    protected ByteBuf newDirectBuffer(int initial, int most) {
        return newHeapBuffer(initial, most);
    }

    @Override
    public boolean isDirectBufferPooled() {
        return false;
    }

    private static final class Counted extends UnpooledHeapByteBuf {

        private final Memory memory;

        Counted(Memory memory, int initial, int most) {
            super(memory, initial, most);
            this.memory = memory;
            // The first array is made before this is known.
            memory.used += array().length;
        }

        @Override
        protected byte[] allocateArray(int length) {
            if (memory != null) {
                memory.used += length;
            }
            return new byte[length];
        }

        @Override
        protected void freeArray(byte[] array) {
            memory.used -= array.length;
        }
    }
}
