package sablehinge.controlplane.node;

import java.util.function.Consumer;
import java.util.function.Supplier;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.Query;

/** An operator's call that reads and changes nothing. */
final class ReadOperation extends Query<CallOutcome> {

    private final CallContext context;
    private final ControlRequest request;
    private final AnswerSource source;

    /** Produces the answer. */
    private interface AnswerSource {
        void sendTo(Consumer<CallOutcome> answer);
    }

    private ReadOperation(CallContext context, ControlRequest request, AnswerSource source) {
        super(request.path());
        this.context = context;
        this.request = request;
        this.source = source;
    }

    /** An operation whose response is built on the API server's event loop. */
    static ReadOperation ofResponse(CallContext context, ControlRequest request, Supplier<ApiResponse> response) {
        return new ReadOperation(context, request, answer -> answer.accept(new CallOutcome(response.get())));
    }

    /**
     * An operation whose response is a record, read on the API server's event loop and serialized on another thread.
     */
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
                CallOutcome result = outcome;
                context.runOnLoop(() -> answer.accept(result));
            });
        });
    }

    @Override
    protected void answer(Consumer<CallOutcome> answer) {
        context.gate()
                .require(
                        context.now(),
                        request,
                        () -> source.sendTo(answer),
                        refusal -> answer.accept(CallOutcome.redirect(refusal, path())));
    }

    @Override
    public ApiResponse write(CallOutcome answer) {
        return answer.reply();
    }
}
