package sablehinge.gateway.node;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;
import sablehinge.gateway.admin.AdminServer;
import sablehinge.gateway.admin.AdminServer.Reply;
import sablehinge.gateway.admin.AdminServer.Request;
import sablehinge.gateway.rollout.ChangeDecider;
import sablehinge.gateway.rollout.ChangeDecider.FinishedChange;
import sablehinge.gateway.rollout.ChangeDecider.Phase;

/** Handles the requests of operators by calls to {@link Versions}. */
final class AdminHandler implements AdminServer.Handler {

    private static final JsonMapper JSON = new JsonMapper();
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE_CONTENT = 422;
    /** The interval at which a waiting command checks the phase of its change. */
    private static final double PHASE_POLL_MS = 5;

    private final OperatorNode node;
    private final Versions versions;

    AdminHandler(OperatorNode node, Versions versions) {
        this.node = node;
        this.versions = versions;
    }

    @Override
    public void handle(Request request, Consumer<Reply> reply) {
        String endpoint = request.method() + " " + request.path();
        try {
            switch (endpoint) {
                case "GET /config/status" -> reply.accept(new Reply(200, status()));
                case "GET /config/content" -> content(number(request, "version"), reply);
                case "POST /config/stage" -> stage(request, reply);
                case "POST /config/drop" -> replyWithStatus(versions.drop(number(request, "version")), reply);
                case "POST /config/apply" -> apply(request, reply);
                case "POST /config/confirm" -> confirm(number(request, "version"), reply);
                case "POST /recorder/dump" -> dump(reply);
                case "POST /config/rollback" -> replyWithStatus(versions.rollback(), reply);
                default -> reply.accept(AdminServer.error(404, "nothing answers " + endpoint));
            }
        } catch (NumberFormatException e) {
            reply.accept(AdminServer.error(400, "a number of the query is none"));
        }
    }

    private void dump(Consumer<Reply> reply) {
        if (node.recording() == null) {
            reply.accept(AdminServer.error(CONFLICT, "this balancer has no [recorder]"));
            return;
        }
        node.recording()
                .dump((path, failure) -> reply.accept(
                        failure != null
                                ? AdminServer.error(CONFLICT, failure)
                                : new Reply(200, JSON.createObjectNode().put("path", path.toString()))));
    }

    private static int number(Request request, String name) {
        return Integer.parseInt(request.query().getOrDefault(name, "0"));
    }

    private void replyWithStatus(ChangeDecider.Reply result, Consumer<Reply> reply) {
        reply.accept(
                result.accepted()
                        ? new Reply(200, status().put("message", result.message()))
                        : AdminServer.error(CONFLICT, result.message()));
    }

    private void content(int version, Consumer<Reply> reply) {
        int requestedVersion = version == 0 ? versions.decider().confirmed() : version;
        versions.content(
                requestedVersion,
                (bytes, failure) -> reply.accept(
                        failure != null
                                ? AdminServer.error(404, failure)
                                : new Reply(
                                        200,
                                        JSON.createObjectNode()
                                                .put("version", requestedVersion)
                                                .put("content", new String(bytes, StandardCharsets.UTF_8)))));
    }

    private void stage(Request request, Consumer<Reply> reply) {
        versions.stage(request.body(), number(request, "base"), result -> {
            if (result.version() != 0) {
                reply.accept(new Reply(200, JSON.createObjectNode().put("version", result.version())));
            } else if (result.refusal() != null) {
                reply.accept(AdminServer.error(CONFLICT, result.refusal()));
            } else {
                ObjectNode body = JSON.createObjectNode().put("error", "the file is wrong");
                ArrayNode problems = body.putArray("problems");
                result.problems().forEach(problem -> problems.addObject()
                        .put("line", problem.line())
                        .put("key", problem.key())
                        .put("message", problem.message()));
                reply.accept(new Reply(UNPROCESSABLE_CONTENT, body));
            }
        });
    }

    private void apply(Request request, Consumer<Reply> reply) {
        int version = number(request, "version");
        ChangeDecider.Reply result = versions.apply(
                version,
                number(request, "confirm_within_ms"),
                "true".equals(request.query().get("automatic")));
        if (result.accepted()) {
            replyWhenReached(version, Phase.TRIAL, reply);
        } else {
            reply.accept(AdminServer.error(CONFLICT, result.message()));
        }
    }

    private void confirm(int version, Consumer<Reply> reply) {
        int candidate = versions.decider().candidate();
        ChangeDecider.Reply result = versions.confirm(version);
        if (result.accepted()) {
            replyWhenReached(candidate, Phase.NONE, reply);
        } else {
            reply.accept(AdminServer.error(CONFLICT, result.message()));
        }
    }

    /** Replies once a change has reached a phase or has finished. */
    private void replyWhenReached(int version, Phase phase, Consumer<Reply> reply) {
        ChangeDecider decider = versions.decider();
        if (decider.candidate() == version && decider.phase() != phase) {
            node.timers().at(node.clock().now() + PHASE_POLL_MS, () -> replyWhenReached(version, phase, reply));
            return;
        }
        FinishedChange finished = decider.history().stream()
                .filter(change -> change.version() == version)
                .findFirst()
                .orElse(null);
        reply.accept(
                finished == null || finished.isConfirmed()
                        ? new Reply(200, status())
                        : AdminServer.error(CONFLICT, "version " + version + " is undone: " + finished.reason()));
    }

    private ObjectNode status() {
        ChangeDecider decider = versions.decider();
        double now = node.clock().now();
        ObjectNode status = JSON.createObjectNode()
                .put("current", node.proxy().version().number())
                .put("confirmed", decider.confirmed());
        ObjectNode change = status.putObject("change");
        change.put("phase", decider.phase().name().toLowerCase(Locale.ROOT));
        if (decider.phase() != Phase.NONE) {
            change.put("version", decider.candidate());
            change.put("ends_in_ms", Math.round(decider.deadlineMs() - now));
        }
        ObjectNode staged = status.putObject("staged");
        decider.stagedVersions().forEach((version, base) -> staged.put(Integer.toString(version), base));
        ArrayNode past = status.putArray("past");
        decider.history().forEach(finished -> past.addObject()
                .put("version", finished.version())
                .put("at_ms", Math.round(finished.finishedAtMs()))
                .put("outcome", finished.isConfirmed() ? "confirmed" : "undone")
                .put("reason", finished.reason()));
        if (node.recording() != null) {
            node.recording().addStatus(status);
        }
        return status.put("last_undo_ms", versions.lastUndoMs())
                .put("versions_at_work", node.proxy().versions())
                .put("requests_at_work", node.proxy().requests())
                .put("connections", node.sockets().open())
                .put("access_log_dropped", node.droppedLogLines());
    }
}
