package sablehinge.control;

import java.util.function.Consumer;
import java.util.function.Supplier;
import sablehinge.api.Query;
import sablehinge.api.Reply;

/** An operator asks, and nothing changes by it. */
final class Inquiry extends Query<Settled> {

    private final Authority authority;
    private final Whom whom;
    private final Telling telling;

    /** Who may answer. */
    enum Whom {
        /** Whoever is asked, for itself. */
        ANYONE,
        /** Who leads. */
        LEADER,
        /** Who leads, once a majority has confirmed, after the question, that it does. */
        CONFIRMED
    }

    /** What is answered. */
    private interface Telling {
        void to(Consumer<Settled> answer);
    }

    private Inquiry(String path, Authority authority, Whom whom, Telling telling) {
        super(path);
        this.authority = authority;
        this.whom = whom;
        this.telling = telling;
    }

    /** A question that a reply answers which is there. */
    static Inquiry plain(String path, Authority authority, Whom whom, Supplier<Reply> reply) {
        return new Inquiry(path, authority, whom, answer -> answer.accept(new Settled(reply.get())));
    }

    /** A question that a record answers: it is taken on the thread of the door, and put in words beside. */
    static Inquiry worded(String path, Authority authority, Whom whom, Supplier<Record> told) {
        return new Inquiry(path, authority, whom, answer -> {
            Record record = told.get();
            authority.check(() -> {
                Settled settled;
                try {
                    settled = new Settled(Reply.of(200, record));
                } catch (RuntimeException e) {
                    settled = Settled.error(500, "BROKEN", String.valueOf(e.getMessage()));
                }
                Settled last = settled;
                authority.settle(() -> answer.accept(last));
            });
        });
    }

    @Override
    protected void answer(Consumer<Settled> answer) {
        if (whom != Whom.ANYONE && !authority.leads()) {
            answer.accept(Settled.elsewhere(authority, path()));
        } else if (whom == Whom.CONFIRMED) {
            authority.barrier(sure -> {
                if (sure) {
                    telling.to(answer);
                } else {
                    answer.accept(Settled.error(503, "NO_MAJORITY", "no majority has answered"));
                }
            });
        } else {
            telling.to(answer);
        }
    }

    @Override
    public Reply write(Settled answer) {
        return answer.reply();
    }
}
