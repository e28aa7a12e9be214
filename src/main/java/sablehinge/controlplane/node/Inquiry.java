package sablehinge.controlplane.node;

import java.util.function.Consumer;
import java.util.function.Supplier;
import sablehinge.mesh.api.Query;
import sablehinge.mesh.api.Reply;

/** An operator asks, and nothing changes by it. */
final class Inquiry extends Query<Settled> {

    private final Authority authority;
    private final ControlRequest request;
    private final Telling telling;

    /** What is answered. */
    private interface Telling {
        void to(Consumer<Settled> answer);
    }

    private Inquiry(Authority authority, ControlRequest request, Telling telling) {
        super(request.path());
        this.authority = authority;
        this.request = request;
        this.telling = telling;
    }

    /** A question that a reply answers which is there. */
    static Inquiry plain(Authority authority, ControlRequest request, Supplier<Reply> reply) {
        return new Inquiry(authority, request, answer -> answer.accept(new Settled(reply.get())));
    }

    /** A question that a record answers: it is taken on the API server's thread, and put in words beside. */
    static Inquiry worded(Authority authority, ControlRequest request, Supplier<Record> told) {
        return new Inquiry(authority, request, answer -> {
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
        authority
                .gate()
                .require(
                        authority.now(),
                        request,
                        () -> telling.to(answer),
                        refusal -> answer.accept(Settled.elsewhere(refusal, path())));
    }

    @Override
    public Reply write(Settled answer) {
        return answer.reply();
    }
}
