package sablehinge.mesh.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sablehinge.mesh.api.CheckException.Code;
import sablehinge.mesh.api.CheckException.Problem;
import sablehinge.mesh.routing.HostNames;

/** What must hold between the parts of a configuration. What has not the right form is passed over here. */
final class SemanticCheck {

    /** Ten minutes. */
    static final double MAX_MS = 600_000;

    private final JsonNode root;

    private final List<Problem> problems;

    private final Map<String, String> services = new LinkedHashMap<>();

    private final Map<String, String> places = new HashMap<>();

    SemanticCheck(JsonNode root, List<Problem> problems) {
        this.root = root;
        this.problems = problems;
    }

    void check() {
        names("fleets", services);
        tenants();
        int at = 0;
        for (JsonNode gate : root.path("gates")) {
            String host = HostNames.normal(gate.path("station").asText(""));
            String place = "/gates/" + at++ + "/regulations/";
            int index = 0;
            for (JsonNode route : gate.path("regulations")) {
                prefix(host, route.path("sorting").path("lanePrefix"), place + index + "/sorting/lanePrefix");
                dispatch(route.path("dispatch"), place + index++ + "/dispatch");
            }
        }
    }

    private void add(Code code, String place, String text) {
        if (problems.size() < ConfigurationCheck.MAX_PROBLEMS) {
            problems.add(new Problem(code, place, text));
        }
    }

    /** Fills in where each name stands. */
    private void names(String list, Map<String, String> known) {
        int at = 0;
        for (JsonNode one : root.path(list)) {
            String place = "/" + list + "/" + at++ + "/name";
            JsonNode name = one.path("name");
            String other = name.isTextual() ? known.putIfAbsent(name.asText(), place) : null;
            if (other != null) {
                add(
                        Code.SAME_NAME,
                        place,
                        "a name of its own was expected, found " + SchemaCheck.found(name, place) + " as at " + other);
            }
        }
    }

    /** A key may stand twice with its own tenant. */
    private void tenants() {
        names("senders", new HashMap<>());
        Map<String, Integer> owners = new HashMap<>();
        int at = 0;
        for (JsonNode tenant : root.path("senders")) {
            int index = 0;
            for (JsonNode key : tenant.path("passes")) {
                Integer owner = key.isTextual() ? owners.putIfAbsent(key.asText(), at) : null;
                if (owner != null && owner != at) {
                    add(
                            Code.SHARED_KEY,
                            "/senders/" + at + "/passes/" + index,
                            "a key of this tenant alone was expected, found one of /senders/" + owner);
                }
                index++;
            }
            at++;
        }
    }

    private void prefix(String host, JsonNode given, String place) {
        if (!given.isTextual()) {
            return;
        }
        String prefix = given.asText();
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            add(
                    Code.BAD_PREFIX,
                    place,
                    "a prefix that begins and ends with a slash was expected, found "
                            + SchemaCheck.found(given, place));
        }
        String other = places.putIfAbsent(host + " " + prefix, place);
        if (other != null) {
            add(
                    Code.SAME_PLACE,
                    place,
                    "a prefix that no other route of this host has was expected, found "
                            + SchemaCheck.found(given, place) + " as at " + other);
        }
    }

    private void dispatch(JsonNode dispatch, String place) {
        if (!dispatch.isObject()) {
            return;
        }
        boolean one = dispatch.hasNonNull("depot");
        if (one == dispatch.hasNonNull("split")) {
            add(Code.SCHEMA, place, "either depot or split was expected, found " + (one ? "both" : "none"));
        }
        service(dispatch.path("depot"), place + "/depot");
        int at = 0;
        for (JsonNode part : dispatch.path("split")) {
            String its = place + "/split/" + at++;
            service(part.path("depot"), its + "/depot");
            if (part.path("share").asDouble() < 0) {
                add(
                        Code.BELOW_ZERO,
                        its + "/share",
                        "0 or more was expected, found " + SchemaCheck.found(part.path("share"), its));
            }
        }
        JsonNode timeout = dispatch.path("timeoutMs");
        if (timeout.asDouble() > MAX_MS) {
            add(
                    Code.LONG_TIMEOUT,
                    place + "/timeoutMs",
                    "600000 ms (ten minutes) or less was expected, found " + SchemaCheck.found(timeout, place));
        }
        JsonNode attempts = dispatch.path("attempts");
        if (attempts.isNumber() && attempts.asDouble() < 1) {
            add(
                    Code.NO_ATTEMPTS,
                    place + "/attempts",
                    "1 or more was expected, found " + SchemaCheck.found(attempts, place));
        }
    }

    private void service(JsonNode name, String place) {
        boolean wanted = problems.size() < ConfigurationCheck.MAX_PROBLEMS;
        if (wanted && name.isTextual() && !services.containsKey(name.asText())) {
            String nearest = NearestName.of(name.asText(), services.keySet());
            add(
                    Code.UNKNOWN_SERVICE,
                    place,
                    "a service of /fleets was expected, found "
                            + SchemaCheck.found(name, place)
                            + (nearest == null ? "" : "; the nearest one is \"" + nearest + "\""));
        }
    }
}
