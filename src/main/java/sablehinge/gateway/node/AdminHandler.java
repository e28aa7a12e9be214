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

/** What operators ask for, in the terms of {@link Versions}. */
final class AdminHandler implements AdminServer.Handler {

    private static final JsonMapper JSON = new JsonMapper();
    private static final int REFUSED = 409;
    private static final int BAD_FILE = 422;
    /** How often a command that waits for a change looks whether it has come, in ms. */
    private static final double LOOK_MS = 5;

    private final OperatorNode node;
    private final Versions versions;

    AdminHandler(OperatorNode node, Versions versions) {
        this.node = node;
        this.versions = versions;
    }

    @Override
    public void handle(Request request, Consumer<Reply> reply) {
        String what = request.method() + " " + request.path();
        try {
            switch (what) {
                case "GET /config/status" -> reply.accept(new Reply(200, status()));
                case "GET /config/content" -> content(number(request, "version"), reply);
                case "POST /config/stage" -> stage(request, reply);
                case "POST /config/drop" -> simple(versions.drop(number(request, "version")), reply);
                case "POST /config/apply" -> apply(request, reply);
                case "POST /config/confirm" -> confirm(number(request, "version"), reply);
                case "POST /recorder/dump" -> dump(reply);
                case "POST /config/rollback" -> simple(versions.rollback(), reply);
                default -> reply.accept(AdminServer.error(404, "nothing answers " + what));
            }
        } catch (NumberFormatException e) {
            reply.accept(AdminServer.error(400, "a number of the query is none"));
        }
    }

    private void dump(Consumer<Reply> reply) {
        if (node.recording() == null) {
            reply.accept(AdminServer.error(REFUSED, "this balancer has no [recorder]"));
            return;
        }
        node.recording()
                .dump((path, why) -> reply.accept(
                        why != null
                                ? AdminServer.error(REFUSED, why)
                                : new Reply(200, JSON.createObjectNode().put("path", path.toString()))));
    }

    private static int number(Request request, String name) {
        return Integer.parseInt(request.query().getOrDefault(name, "0"));
    }

    private void simple(ChangeDecider.Reply result, Consumer<Reply> reply) {
        reply.accept(
                result.accepted()
                        ? new Reply(200, status().put("message", result.message()))
                        : AdminServer.error(REFUSED, result.message()));
    }

    private void content(int version, Consumer<Reply> reply) {
        int wanted = version == 0 ? versions.decider().confirmed() : version;
        versions.content(
                wanted,
                (bytes, failure) -> reply.accept(
                        failure != null
                                ? AdminServer.error(404, failure)
                                : new Reply(
                                        200,
                                        JSON.createObjectNode()
                                                .put("version", wanted)
                                                .put("content", new String(bytes, StandardCharsets.UTF_8)))));
    }

    private void stage(Request request, Consumer<Reply> reply) {
        versions.stage(request.body(), number(request, "base"), staged -> {
            if (staged.version() != 0) {
                reply.accept(new Reply(200, JSON.createObjectNode().put("version", staged.version())));
            } else if (staged.refusal() != null) {
                reply.accept(AdminServer.error(REFUSED, staged.refusal()));
            } else {
                ObjectNode body = JSON.createObjectNode().put("error", "the file is wrong");
                ArrayNode problems = body.putArray("problems");
                staged.problems().forEach(p -> problems.addObject()
                        .put("line", p.line())
                        .put("key", p.key())
                        .put("message", p.message()));
                reply.accept(new Reply(BAD_FILE, body));
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
            whenPast(version, Phase.TRIAL, reply);
        } else {
            reply.accept(AdminServer.error(REFUSED, result.message()));
        }
    }

    private void confirm(int version, Consumer<Reply> reply) {
        int candidate = versions.decider().candidate();
        ChangeDecider.Reply result = versions.confirm(version);
        if (result.accepted()) {
            whenPast(candidate, Phase.NONE, reply);
        } else {
            reply.accept(AdminServer.error(REFUSED, result.message()));
        }
    }

    /** Answers once a change has come to a phase or has ended. */
    private void whenPast(int version, Phase phase, Consumer<Reply> reply) {
        ChangeDecider decider = versions.decider();
        if (decider.candidate() == version && decider.phase() != phase) {
            node.timers().at(node.clock().now() + LOOK_MS, () -> whenPast(version, phase, reply));
            return;
        }
        FinishedChange past = decider.history().stream()
                .filter(one -> one.version() == version)
                .findFirst()
                .orElse(null);
        reply.accept(
                past == null || past.isConfirmed()
                        ? new Reply(200, status())
                        : AdminServer.error(REFUSED, "version " + version + " is undone: " + past.reason()));
    }

    private ObjectNode status() {
        ChangeDecider decider = versions.decider();
        double now = node.clock().now();
        ObjectNode status = JSON.createObjectNode()
                .put("current", node.core().version().number())
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
        decider.history().forEach(one -> past.addObject()
                .put("version", one.version())
                .put("at_ms", Math.round(one.finishedAtMs()))
                .put("outcome", one.isConfirmed() ? "confirmed" : "undone")
                .put("reason", one.reason()));
        if (node.recording() != null) {
            node.recording().status(status);
        }
        return status.put("last_undo_ms", versions.undoMs())
                .put("versions_at_work", node.core().versions())
                .put("requests_at_work", node.core().requests())
                .put("connections", node.sockets().open())
                .put("access_log_dropped", node.droppedLines());
    }
}
