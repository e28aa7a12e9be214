package sablehinge.controlplane.node;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import sablehinge.controlplane.state.BodyDigest;
import sablehinge.mesh.api.ApiRequest;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.CallException;
import sablehinge.mesh.api.CheckException;
import sablehinge.mesh.api.ConfigurationCheck;
import sablehinge.mesh.api.HttpOperation;
import sablehinge.mesh.routing.Configuration;

/** An operator's call that replaces the configuration. */
final class ReplaceOperation extends HttpOperation<ReplaceOperation.ReplaceRequest, CallOutcome> {

    private final CallContext context;

    ReplaceOperation(CallContext context) {
        super("POST", ControlRequest.CONFIG_REPLACE.path());
        this.context = context;
    }

    /** The parsed call: the edition to replace and the new configuration. */
    record ReplaceRequest(long basedOn, byte[] body) {}

    @Override
    public ReplaceRequest read(ApiRequest request) {
        String basedOn = request.headers().get("Sablehinge-Based-On");
        try {
            return new ReplaceRequest(Long.parseLong(String.valueOf(basedOn).strip()), request.body());
        } catch (NumberFormatException e) {
            throw new CallException(400, "BASED_ON", "Sablehinge-Based-On is no version: " + basedOn);
        }
    }

    @Override
    public void execute(ReplaceRequest call, Consumer<CallOutcome> answer) {
        context.gate()
                .require(
                        context.now(),
                        ControlRequest.CONFIG_REPLACE,
                        () -> {
                            long term = context.raftStatus().term();
                            context.runOffLoop(() -> check(call, term, answer));
                        },
                        refusal -> answer.accept(CallOutcome.redirect(refusal, path())));
    }

    /** Validates the body on the validation thread; the result is the same on every member. */
    private void check(ReplaceRequest call, long term, Consumer<CallOutcome> answer) {
        CallOutcome failure;
        try {
            Configuration checked = ConfigurationCheck.check(call.body());
            ChangeCoordinator.ChangeRequest change =
                    new ChangeCoordinator.ChangeRequest(call.basedOn(), checked.edition(), BodyDigest.of(call.body()));
            context.runOnLoop(() -> submit(change, call.body(), term, answer));
            return;
        } catch (CheckException e) {
            failure = new CallOutcome(ApiResponse.error(
                    400, e.code().name(), e.place(), e.problems().get(0).text()));
        } catch (RuntimeException e) {
            failure = CallOutcome.error(500, "BROKEN", String.valueOf(e.getMessage()));
        }
        CallOutcome result = failure;
        context.runOnLoop(() -> answer.accept(result));
    }

    private void submit(ChangeCoordinator.ChangeRequest change, byte[] body, long term, Consumer<CallOutcome> answer) {
        if (context.raftStatus().term() != term) {
            // The client may have sent a copy to another node that has answered it meanwhile.
            answer.accept(CallOutcome.error(503, "NO_MAJORITY", "the core's leader has changed"));
            return;
        }
        context.gate()
                .require(
                        context.now(),
                        ControlRequest.CONFIG_REPLACE,
                        () -> context.changes()
                                .submit(
                                        context.now(),
                                        change,
                                        body,
                                        context.timeOfDay(),
                                        verdict -> answer.accept(reply(change, verdict))),
                        refusal -> answer.accept(CallOutcome.redirect(refusal, path())));
    }

    private CallOutcome reply(ChangeCoordinator.ChangeRequest change, ChangeCoordinator.Verdict verdict) {
        long current = context.configurations().edition();
        return switch (verdict) {
            // A late repetition was accepted before, and a newer edition may be current by now.
            case TAKEN ->
                new CallOutcome(
                        ApiResponse.of(200, ("{\"edition\":" + current + "}").getBytes(StandardCharsets.US_ASCII)));
            case STALE ->
                CallOutcome.error(412, "STALE", "version " + current + " is in place, not " + change.basedOn());
            case OLD ->
                new CallOutcome(ApiResponse.error(
                        400,
                        CheckException.Code.OLD_EDITION.name(),
                        "/edition",
                        "edition " + change.edition() + " is not above " + current));
            case AHEAD ->
                CallOutcome.error(
                        503,
                        "AHEAD",
                        "version " + change.basedOn() + " is not in place yet; the same call may be made again");
            case UNCLEAR ->
                CallOutcome.error(503, "NO_MAJORITY", "no majority has answered; the same call may be made again");
        };
    }

    @Override
    public ApiResponse write(CallOutcome answer) {
        return answer.reply();
    }
}
