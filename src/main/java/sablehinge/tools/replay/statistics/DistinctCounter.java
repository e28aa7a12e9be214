package sablehinge.tools.replay.statistics;

import java.util.Arrays;

/**
 * How many different names there were: exact up to a bound, beyond it an estimate by adaptive sampling (Wegman;
 * Flajolet, On adaptive sampling, 1990), whose standard error is about 1.2 over the root of the bound.
 */
public final class DistinctCounter {

    private final int most;
    private long[] table = new long[1 << 10];
    private int held;
    private boolean zero;
    /** Only hashes that end in so many zero bits are held. */
    private int level;

    /** A count that holds so many hashes at most, of 8 to 32 bytes each. */
    public DistinctCounter(int most) {
        this.most = most;
    }

    /** Counts a name, unless it was counted before. */
    public void add(String name) {
        long hash = hash(name);
        if (Long.numberOfTrailingZeros(hash) < level || !insert(hash)) {
            return;
        }
        while (size() > most) {
            level++;
            rebuild(table.length);
        }
        if (held * 2 > table.length) {
            rebuild(table.length * 2);
        }
    }

    /** FNV-1a over the characters, mixed by the finalizer of MurmurHash3, so that every bit counts. */
    private static long hash(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }

    private boolean insert(long hash) {
        if (hash == 0) {
            boolean fresh = !zero;
            zero = true;
            return fresh;
        }
        int at = (int) (hash >>> 40) & table.length - 1;
        while (table[at] != 0) {
            if (table[at] == hash) {
                return false;
            }
            at = at + 1 & table.length - 1;
        }
        table[at] = hash;
        held++;
        return true;
    }

    private void rebuild(int size) {
        long[] old = table;
        table = new long[size];
        held = 0;
        Arrays.stream(old)
                .filter(hash -> hash != 0 && Long.numberOfTrailingZeros(hash) >= level)
                .forEach(this::insert);
    }

    private int size() {
        return held + (zero ? 1 : 0);
    }

    /** Whether the count is exact. */
    public boolean isExact() {
        return level == 0;
    }

    /** How many there were. */
    public long count() {
        return (long) size() << level;
    }
}
