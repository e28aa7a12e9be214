package sablehinge.control;

import java.util.function.Consumer;
import sablehinge.state.ConfigurationState;
import sablehinge.consensus.Member;
import sablehinge.consensus.Pulse;
import sablehinge.consensus.Standing;

/** What settles operators' calls; all but {@link #check} is called on the thread of the door. */
interface Authority {

    /** A steady clock, ms. */
    double now();

    /** This machine as a member; null until its disk has been read. */
    Member self();

    /** The place of this machine in the core. */
    Standing standing();

    Pulse pulse();

    ConfigurationState configurations();

    /** Does work that takes long on a thread beside, and {@link #settle} comes back from there. */
    void check(Runnable work);

    void settle(Runnable work);

    void propose(long basedOn, long edition, byte[] body, Consumer<Proposals.Result> then);

    /** The callback is called with true once all that was committed before this call is applied here. */
    void barrier(Consumer<Boolean> then);

    default boolean leads() {
        return standing().role() == Standing.Role.LEADER;
    }

    /** Where operators call the leader; null where none is known. */
    default String leader() {
        return standing().leader() == null ? null : standing().leader().control();
    }
}
