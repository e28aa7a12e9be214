package sablehinge.tools.replay.statistics;

import java.util.Arrays;

/**
 * Counts distinct values: exactly up to a limit, beyond it with an estimate by adaptive sampling (Wegman; Flajolet, On
 * adaptive sampling, 1990), whose relative standard error is about 1.2 divided by the square root of the limit.
 */
public final class DistinctCounter {

    private final int maxHashes;
    private long[] table = new long[1 << 10];
    private int hashCount;
    private boolean containsZero;
    /** Only hashes with at least this number of trailing zero bits are retained. */
    private int sampleLevel;

    /** Creates a counter that retains up to {@code maxHashes} hashes of 8 to 32 bytes each. */
    public DistinctCounter(int maxHashes) {
        this.maxHashes = maxHashes;
    }

    /** Counts a value unless it was counted before. */
    public void add(String value) {
        long hash = hash(value);
        if (Long.numberOfTrailingZeros(hash) < sampleLevel || !insert(hash)) {
            return;
        }
        while (size() > maxHashes) {
            sampleLevel++;
            rebuild(table.length);
        }
        if (hashCount * 2 > table.length) {
            rebuild(table.length * 2);
        }
    }

    /** FNV-1a over the characters, mixed by the finalizer of MurmurHash3, so that all bits of the hash are usable. */
    private static long hash(String value) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < value.length(); i++) {
            hash = (hash ^ value.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }

    private boolean insert(long hash) {
        if (hash == 0) {
            boolean added = !containsZero;
            containsZero = true;
            return added;
        }
        int index = (int) (hash >>> 40) & table.length - 1;
        while (table[index] != 0) {
            if (table[index] == hash) {
                return false;
            }
            index = index + 1 & table.length - 1;
        }
        table[index] = hash;
        hashCount++;
        return true;
    }

    private void rebuild(int size) {
        long[] old = table;
        table = new long[size];
        hashCount = 0;
        Arrays.stream(old)
                .filter(hash -> hash != 0 && Long.numberOfTrailingZeros(hash) >= sampleLevel)
                .forEach(this::insert);
    }

    private int size() {
        return hashCount + (containsZero ? 1 : 0);
    }

    /** Whether the count is exact. */
    public boolean isExact() {
        return sampleLevel == 0;
    }

    /** The number of distinct values, exact or estimated. */
    public long count() {
        return (long) size() << sampleLevel;
    }
}
