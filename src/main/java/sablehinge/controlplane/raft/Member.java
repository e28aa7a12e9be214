package sablehinge.controlplane.raft;

/**
 * A machine of the core with one incarnation of its disk. A machine that loses its disk returns as a new member: it no
 * longer knows its votes, so promises of the former member neither bind it nor count in its favour.
 *
 * @param id unique for each incarnation; never 0
 * @param address address for messages of its peers, {@code ip:port}
 * @param control address for operator calls, {@code ip:port}
 */
public record Member(long id, String address, String control) {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /**
     * Returns a founder of the core. Every founder derives the same id from the address. The lowest bit is set in the
     * ids of founders and clear in all others.
     */
    public static Member founder(String address, String control) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < address.length(); i++) {
            hash = (hash ^ (address.charAt(i) & 0xff)) * FNV_PRIME;
        }
        return new Member(hash | 1, address, control);
    }

    /** Returns a member whose disk was empty after the founding of the core; {@code random} makes its id unique. */
    public static Member nonFounder(long random, String address, String control) {
        long even = random & ~1L;
        return new Member(even == 0 ? 2 : even, address, control);
    }
}
