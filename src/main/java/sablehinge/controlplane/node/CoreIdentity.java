package sablehinge.controlplane.node;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import sablehinge.common.settings.LocalSettings;
import sablehinge.controlplane.raft.Member;

/** The identity of this node and of the core's founders, derived from the settings. */
final class CoreIdentity {

    private final LocalSettings settings;
    private final SecureRandom random;

    CoreIdentity(LocalSettings settings, SecureRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * The member that this node becomes if its disk holds no member: a founder at the first start of the system, else a
     * member with a new id, because a node that lost its disk has also lost the record of its votes.
     *
     * @param isCorrupt whether the disk held data that is no longer readable
     */
    Member memberForEmptyDisk(boolean isCorrupt) {
        String address = settings.ip() + ":" + settings.innerFirst();
        String control = settings.listenOn().control();
        return settings.firstStart() && !isCorrupt
                ? Member.founder(address, control)
                : Member.nonFounder(random.nextLong(), address, control);
    }

    /** The seeds of the settings, as founders of the core. */
    List<Member> founders() {
        List<Member> founders = new ArrayList<>();
        for (String seed : settings.seeds()) {
            founders.add(Member.founder(settings.innerSeed(seed), seed));
        }
        return founders;
    }
}
