package sablehinge.gateway.wire;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;

/** Little-endian values in a byte array. */
final class LittleEndian {

    private static final VarHandle SHORT = view(short[].class);
    private static final VarHandle INT = view(int[].class);
    private static final VarHandle LONG = view(long[].class);
    private static final VarHandle FLOAT = view(float[].class);
    private static final VarHandle DOUBLE = view(double[].class);

    private LittleEndian() {}

    private static VarHandle view(Class<?> arrayType) {
        return MethodHandles.byteArrayViewVarHandle(arrayType, ByteOrder.LITTLE_ENDIAN);
    }

    static int getByte(byte[] bytes, int at) {
        return bytes[at] & 0xff;
    }

    static int getShort(byte[] bytes, int at) {
        return (short) SHORT.get(bytes, at) & 0xffff;
    }

    static int getInt(byte[] bytes, int at) {
        return (int) INT.get(bytes, at);
    }

    static long getUnsignedInt(byte[] bytes, int at) {
        return (int) INT.get(bytes, at) & 0xffffffffL;
    }

    static long getLong(byte[] bytes, int at) {
        return (long) LONG.get(bytes, at);
    }

    static float getFloat(byte[] bytes, int at) {
        return (float) FLOAT.get(bytes, at);
    }

    static double getDouble(byte[] bytes, int at) {
        return (double) DOUBLE.get(bytes, at);
    }

    /** Returns an upstream's four address bytes and port in their encoded order. */
    static long getUpstream(byte[] bytes, int at) {
        return getUnsignedInt(bytes, at) | (long) getShort(bytes, at + 4) << 32;
    }

    static void putShort(byte[] bytes, int at, int value) {
        SHORT.set(bytes, at, (short) value);
    }

    static void putInt(byte[] bytes, int at, int value) {
        INT.set(bytes, at, value);
    }

    static void putLong(byte[] bytes, int at, long value) {
        LONG.set(bytes, at, value);
    }

    static void putDouble(byte[] bytes, int at, double value) {
        DOUBLE.set(bytes, at, value);
    }

    static void putUpstream(byte[] bytes, int at, long upstream) {
        putInt(bytes, at, (int) upstream);
        putShort(bytes, at + 4, (int) (upstream >>> 32));
    }
}
