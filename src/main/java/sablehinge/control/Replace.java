package sablehinge.control;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import sablehinge.routing.Configuration;
import sablehinge.api.Asked;
import sablehinge.api.CallException;
import sablehinge.api.CheckException;
import sablehinge.api.ConfigurationCheck;
import sablehinge.api.Headed;
import sablehinge.api.Reply;

/** An operator sends a configuration. */
final class Replace extends Headed<Replace.Replacement, Settled> {

    private final Authority authority;

    Replace(Authority authority) {
        super("POST", "/sablehinge/Config.Replace");
        this.authority = authority;
    }

    /** A configuration is to take the place of another. */
    record Replacement(long basedOn, byte[] body) { }

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
            answer.accept(Settled.elsewhere(authority, path()));
            return;
        }
        authority.check(() -> {
            Configuration checked;
            try {
                checked = ConfigurationCheck.check(call.body());
            } catch (CheckException e) {
                authority.settle(() -> answer.accept(new Settled(Reply.error(400, e.code().name(), e.place(),
                        e.problems().get(0).text()))));
                return;
            } catch (RuntimeException e) {
                authority.settle(() -> answer.accept(Settled.error(500, "BROKEN",
                        String.valueOf(e.getMessage()))));
                return;
            }
            authority.settle(() -> decide(call, checked, answer));
        });
    }

    private void decide(Replacement call, Configuration checked, Consumer<Settled> answer) {
        if (!authority.leads()) {
            answer.accept(Settled.elsewhere(authority, path()));
            return;
        }
        // What is applied here may be behind what was acknowledged: nothing is refused on its account
        // unless the barrier says that it is the newest; the log decides in any case.
        authority.propose(call.basedOn(), checked.edition(), call.body(), result -> answer.accept(
                switch (result) {
                    // A call that is repeated late was taken, and another edition may be in force by now.
                    case TAKEN -> new Settled(Reply.of(200, ("{\"edition\":"
                            + authority.configurations().edition()
                            + "}").getBytes(StandardCharsets.US_ASCII)));
                    case STALE -> Settled.error(412, "STALE", "version "
                            + authority.configurations().edition()
                            + " is in place, not " + call.basedOn());
                    case OLD -> new Settled(Reply.error(400, CheckException.Code.OLD_EDITION.name(),
                            "/edition", "edition " + checked.edition() + " is not above "
                                    + authority.configurations().edition()));
                    case LOST -> Settled.error(503, "NO_MAJORITY",
                            "no majority has answered; the same call may be made again");
                }));
    }

    @Override
    public Reply write(Settled answer) {
        return answer.reply();
    }
}
