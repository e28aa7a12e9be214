package sablehinge.controlplane.raft;

/**
 * A machine of the core with one incarnation of its disk. A machine that loses its disk comes back as another member:
 * it has forgotten what it voted for, so no promise of the member before binds it or counts for it.
 *
 * @param id differs for each incarnation; never 0
 * @param address where it takes records from its peers, {@code ip:port}
 * @param control where operators call it, {@code ip:port}
 */
public record Member(long id, String address, String control) {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /**
     * A member of the very first core, whose id all who found it reckon alike from its address. The lowest bit is set
     * in founders' ids and clear in all others.
     */
    public static Member founder(String address, String control) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < address.length(); i++) {
            hash = (hash ^ (address.charAt(i) & 0xff)) * FNV_PRIME;
        }
        return new Member(hash | 1, address, control);
    }

    /** A member whose disk began empty after the founding; {@code random} tells it from all others. */
    public static Member nonFounder(long random, String address, String control) {
        long even = random & ~1L;
        return new Member(even == 0 ? 2 : even, address, control);
    }
}
