package sablehinge.controlplane.node;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import sablehinge.common.settings.LocalSettings;
import sablehinge.controlplane.raft.Member;

/** Who this machine and the founders of the core are, by the settings. */
final class CoreIdentity {

    private final LocalSettings settings;
    private final SecureRandom random;

    CoreIdentity(LocalSettings settings, SecureRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * The member that this machine becomes where its disk holds none: a founder at the first start of the system, else
     * a new member, as one that lost its disk has lost its votes with it.
     *
     * @param isCorrupt whether the disk held something that can't be read any more
     */
    Member memberForEmptyDisk(boolean isCorrupt) {
        String address = settings.ip() + ":" + settings.innerFirst();
        String control = settings.listenOn().control();
        return settings.firstStart() && !isCorrupt
                ? Member.founder(address, control)
                : Member.nonFounder(random.nextLong(), address, control);
    }

    /** The machines that the settings name as seeds, as founders of the core. */
    List<Member> founders() {
        List<Member> founders = new ArrayList<>();
        for (String seed : settings.seeds()) {
            founders.add(Member.founder(settings.innerSeed(seed), seed));
        }
        return founders;
    }
}
