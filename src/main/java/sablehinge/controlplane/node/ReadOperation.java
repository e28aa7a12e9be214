package sablehinge.controlplane.node;

import java.util.function.Consumer;
import java.util.function.Supplier;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.Query;

/** An operator asks, and nothing changes by it. */
final class ReadOperation extends Query<CallOutcome> {

    private final CallContext authority;
    private final ControlRequest request;
    private final AnswerSource source;

    /** What is answered. */
    private interface AnswerSource {
        void to(Consumer<CallOutcome> answer);
    }

    private ReadOperation(CallContext authority, ControlRequest request, AnswerSource source) {
        super(request.path());
        this.authority = authority;
        this.request = request;
        this.source = source;
    }

    /** A question that a reply answers which is there. */
    static ReadOperation plain(CallContext authority, ControlRequest request, Supplier<ApiResponse> reply) {
        return new ReadOperation(authority, request, answer -> answer.accept(new CallOutcome(reply.get())));
    }

    /** A question that a record answers: it is taken on the API server's thread, and put in words beside. */
    static ReadOperation ofRecord(CallContext authority, ControlRequest request, Supplier<Record> source) {
        return new ReadOperation(authority, request, answer -> {
            Record record = source.get();
            authority.check(() -> {
                CallOutcome settled;
                try {
                    settled = new CallOutcome(ApiResponse.of(200, record));
                } catch (RuntimeException e) {
                    settled = CallOutcome.error(500, "BROKEN", String.valueOf(e.getMessage()));
                }
                CallOutcome last = settled;
                authority.settle(() -> answer.accept(last));
            });
        });
    }

    @Override
    protected void answer(Consumer<CallOutcome> answer) {
        authority
                .gate()
                .require(
                        authority.now(),
                        request,
                        () -> source.to(answer),
                        refusal -> answer.accept(CallOutcome.redirect(refusal, path())));
    }

    @Override
    public ApiResponse write(CallOutcome answer) {
        return answer.reply();
    }
}
