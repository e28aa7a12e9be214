package sablehinge.controlplane.raft;

import static sablehinge.controlplane.raft.Faults.NODE;
import static sablehinge.controlplane.raft.Faults.STATE;

import java.util.List;
import sablehinge.torture.Mutant;

/** Faults by which two orders are confirmed beside each other, or one that is in force is refused or lost. */
final class OrderFaults {

    static final List<Mutant> ALL = List.of(
            new Mutant(
                    "a configuration on an old version is taken",
                    STATE,
                    "public Outcome evaluate(",
                    "basedOn != edition",
                    "basedOn > edition"),
            new Mutant(
                    "a repeated configuration is not known again",
                    STATE,
                    "public Outcome evaluate(",
                    "known != null &&",
                    "known != null && edition < 0 &&"),
            new Mutant(
                    "only the latest configuration is known again",
                    STATE,
                    "public Outcome evaluate(",
                    "known != null &&",
                    "known != null && next == edition &&"),
            new Mutant(
                    "an order is known by its edition alone",
                    STATE,
                    "public Outcome evaluate(",
                    "known.matches(basedOn, nextBody)",
                    "known.length >= 0"),
            new Mutant(
                    "bodies of one length are taken for one",
                    STATE,
                    "boolean matches(",
                    " && digest.matches(otherBody)",
                    ""),
            new Mutant(
                    "an order on another version is taken for the same",
                    STATE,
                    "boolean matches(",
                    "(basedOn == otherBase || basedOn == UNKNOWN)",
                    "basedOn >= UNKNOWN"),
            new Mutant(
                    "an edition that is not above is taken",
                    STATE,
                    "public Outcome evaluate(",
                    "next <= edition ? Outcome.OLD : ",
                    ""),
            new Mutant(
                    "a refused order is carried out",
                    STATE,
                    "public Outcome apply(",
                    "outcome == Outcome.TAKEN",
                    "outcome != Outcome.STALE"),
            new Mutant(
                    "a state forgets what was taken",
                    STATE,
                    "public void restore(byte[] state)",
                    "i < count",
                    "i < 0 * count"),
            new Mutant(
                    "a state tells no editions that were taken",
                    STATE,
                    "public byte[] state()",
                    "out.writeInt(accepted.size());",
                    "out.writeInt(0);"),
            new Mutant(
                    "a state's body is lost",
                    STATE,
                    "public void restore(byte[] state)",
                    "in.readFully(body);",
                    "in.skipBytes(body.length);"),
            new Mutant(
                    "who does not lead takes orders",
                    NODE,
                    "public long propose(",
                    "!state.running || !state.isLeader() || state.log",
                    "!state.running || state.log"));

    private OrderFaults() {}
}
