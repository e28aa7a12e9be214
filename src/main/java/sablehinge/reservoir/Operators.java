package sablehinge.reservoir;

import java.util.List;
import java.util.function.Consumer;
import sablehinge.aqueduct.Configuration;
import sablehinge.cistern.Cistern;
import sablehinge.headgate.Asked;
import sablehinge.headgate.CallException;
import sablehinge.headgate.CheckException;
import sablehinge.headgate.ConfigurationCheck;
import sablehinge.headgate.Operation;
import sablehinge.headgate.Reply;

/** The operators' calls (PROTOCOL, "The operator"). */
final class Operators {

    private final Authority authority;

    /** What settles calls; all but {@link #check} on the thread of the door. */
    interface Authority {

        boolean leads();

        /** Where operators call the leader; null where none is known. */
        String leader();

        /** Does work that takes long on a thread beside, and {@link #settle} comes back from there. */
        void check(Runnable work);

        void settle(Runnable work);

        Cistern cistern();

        void propose(long basedOn, long edition, byte[] body, Consumer<Proposals.Result> then);

        void barrier(Consumer<Boolean> then);
    }

    Operators(Authority authority) {
        this.authority = authority;
    }

    List<Operation<?, ?>> all() {
        return List.of(new Replace(), new Read());
    }

    /** A configuration is to take the place of another. */
    record Replacement(long basedOn, byte[] body) { }

    /** The answer to any call here. */
    record Settled(Reply reply) { }

    /** Where else to call; where no leader is known, nowhere. */
    private Settled elsewhere(String path) {
        String leader = authority.leader();
        return new Settled(leader == null
                ? Reply.error(503, "NO_LEADER", "the core has no leader at the moment")
                : Reply.elsewhere("http://" + leader + path));
    }

    private final class Replace implements Operation<Replacement, Settled> {

        @Override
        public String method() {
            return "POST";
        }

        @Override
        public String path() {
            return "/sablehinge/Config.Replace";
        }

        @Override
        public Replacement read(Asked asked) {
            String basedOn = asked.headers().get("Sablehinge-Based-On");
            try {
                return new Replacement(Long.parseLong(String.valueOf(basedOn).strip()), asked.body());
            } catch (NumberFormatException e) {
                throw new CallException(400, "BASED_ON", "Sablehinge-Based-On is no version: " + basedOn);
            }
        }

        @Override
        public void carryOut(Replacement call, Consumer<Settled> answer) {
            if (!authority.leads()) {
                answer.accept(elsewhere(path()));
                return;
            }
            authority.check(() -> {
                Configuration checked;
                try {
                    checked = ConfigurationCheck.check(call.body());
                } catch (CheckException e) {
                    authority.settle(() -> answer.accept(new Settled(Reply.error(400, e.code().name(),
                            e.place() + ": " + e.getMessage()))));
                    return;
                } catch (RuntimeException e) {
                    authority.settle(() -> answer.accept(new Settled(Reply.error(500, "BROKEN",
                            String.valueOf(e.getMessage())))));
                    return;
                }
                authority.settle(() -> decide(call, checked, answer));
            });
        }

        private void decide(Replacement call, Configuration checked, Consumer<Settled> answer) {
            if (!authority.leads()) {
                answer.accept(elsewhere(path()));
                return;
            }
            // What is applied here may be behind what was acknowledged: nothing is refused on its account
            // unless the barrier says that it is the newest; the log decides in any case.
            authority.propose(call.basedOn(), checked.edition(), call.body(), result -> answer.accept(
                    new Settled(switch (result) {
                        case TAKEN -> Reply.of(200);
                        case STALE -> Reply.error(412, "STALE", "version " + authority.cistern().edition()
                                + " is in place, not " + call.basedOn());
                        case OLD -> Reply.error(400, "OLD_EDITION", "edition " + checked.edition()
                                + " is not above " + authority.cistern().edition());
                        case LOST -> Reply.error(503, "NO_MAJORITY",
                                "no majority has answered; the same call may be made again");
                    })));
        }

        @Override
        public Reply write(Settled answer) {
            return answer.reply();
        }
    }

    /** What is the newest configuration? */
    record Question() { }

    private final class Read implements Operation<Question, Settled> {

        @Override
        public String method() {
            return "GET";
        }

        @Override
        public String path() {
            return "/sablehinge/Config.Read";
        }

        @Override
        public Question read(Asked asked) {
            return new Question();
        }

        @Override
        public void carryOut(Question call, Consumer<Settled> answer) {
            if (!authority.leads()) {
                answer.accept(elsewhere(path()));
                return;
            }
            authority.barrier(sure -> {
                Cistern cistern = authority.cistern();
                answer.accept(!sure ? new Settled(Reply.error(503, "NO_MAJORITY", "no majority has answered"))
                        : cistern.edition() == 0
                        ? new Settled(Reply.error(404, "NONE", "no configuration yet"))
                        : new Settled(Reply.of(200, cistern.body())));
            });
        }

        @Override
        public Reply write(Settled answer) {
            return answer.reply();
        }
    }
}
