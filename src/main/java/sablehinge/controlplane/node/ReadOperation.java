package sablehinge.controlplane.node;

import java.util.function.Consumer;
import java.util.function.Supplier;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.Query;

/** An operator asks, and nothing changes by it. */
final class ReadOperation extends Query<CallOutcome> {

    private final CallContext context;
    private final ControlRequest request;
    private final AnswerSource source;

    /** What is answered. */
    private interface AnswerSource {
        void to(Consumer<CallOutcome> answer);
    }

    private ReadOperation(CallContext context, ControlRequest request, AnswerSource source) {
        super(request.path());
        this.context = context;
        this.request = request;
        this.source = source;
    }

    /** A question that a reply answers which is there. */
    static ReadOperation plain(CallContext context, ControlRequest request, Supplier<ApiResponse> reply) {
        return new ReadOperation(context, request, answer -> answer.accept(new CallOutcome(reply.get())));
    }

    /** A question that a record answers: it is taken on the API server's thread, and put in words beside. */
    static ReadOperation ofRecord(CallContext context, ControlRequest request, Supplier<Record> source) {
        return new ReadOperation(context, request, answer -> {
            Record record = source.get();
            context.runOffLoop(() -> {
                CallOutcome outcome;
                try {
                    outcome = new CallOutcome(ApiResponse.of(200, record));
                } catch (RuntimeException e) {
                    outcome = CallOutcome.error(500, "BROKEN", String.valueOf(e.getMessage()));
                }
                CallOutcome last = outcome;
                context.runOnLoop(() -> answer.accept(last));
            });
        });
    }

    @Override
    protected void answer(Consumer<CallOutcome> answer) {
        context.gate()
                .require(
                        context.now(),
                        request,
                        () -> source.to(answer),
                        refusal -> answer.accept(CallOutcome.redirect(refusal, path())));
    }

    @Override
    public ApiResponse write(CallOutcome answer) {
        return answer.reply();
    }
}
