package sablehinge.mesh.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sablehinge.mesh.api.CheckException.Code;
import sablehinge.mesh.api.CheckException.Problem;
import sablehinge.mesh.routing.HostNames;

/** Checks the constraints across the parts of a configuration. Parts that do not match the schema are ignored here. */
final class SemanticCheck {

    /** Maximum timeout of a route: ten minutes. */
    static final double MAX_TIMEOUT_MS = 600_000;

    private final JsonNode root;

    private final List<Problem> problems;

    private final Map<String, String> services = new LinkedHashMap<>();

    private final Map<String, String> placesByPrefix = new HashMap<>();

    SemanticCheck(JsonNode root, List<Problem> problems) {
        this.root = root;
        this.problems = problems;
    }

    void check() {
        checkNames("fleets", services);
        checkTenants();
        int gateIndex = 0;
        for (JsonNode gate : root.path("gates")) {
            String host = HostNames.normal(gate.path("station").asText(""));
            String place = "/gates/" + gateIndex++ + "/regulations/";
            int routeIndex = 0;
            for (JsonNode route : gate.path("regulations")) {
                checkPrefix(host, route.path("sorting").path("lanePrefix"), place + routeIndex + "/sorting/lanePrefix");
                checkDispatch(route.path("dispatch"), place + routeIndex++ + "/dispatch");
            }
        }
    }

    private void add(Code code, String place, String text) {
        if (problems.size() < ConfigurationCheck.MAX_PROBLEMS) {
            problems.add(new Problem(code, place, text));
        }
    }

    /** Records the place of each name and reports duplicates. */
    private void checkNames(String field, Map<String, String> placesByName) {
        int index = 0;
        for (JsonNode item : root.path(field)) {
            String place = "/" + field + "/" + index++ + "/name";
            JsonNode name = item.path("name");
            String earlierPlace = name.isTextual() ? placesByName.putIfAbsent(name.asText(), place) : null;
            if (earlierPlace != null) {
                add(
                        Code.SAME_NAME,
                        place,
                        "a name of its own was expected, found " + SchemaCheck.describe(name, place) + " as at "
                                + earlierPlace);
            }
        }
    }

    /** Checks that no two tenants share a key. A tenant may list a key twice. */
    private void checkTenants() {
        checkNames("senders", new HashMap<>());
        Map<String, Integer> ownersByKey = new HashMap<>();
        int tenantIndex = 0;
        for (JsonNode tenant : root.path("senders")) {
            int keyIndex = 0;
            for (JsonNode key : tenant.path("passes")) {
                Integer ownerIndex = key.isTextual() ? ownersByKey.putIfAbsent(key.asText(), tenantIndex) : null;
                if (ownerIndex != null && ownerIndex != tenantIndex) {
                    add(
                            Code.SHARED_KEY,
                            "/senders/" + tenantIndex + "/passes/" + keyIndex,
                            "a key of this tenant alone was expected, found one of /senders/" + ownerIndex);
                }
                keyIndex++;
            }
            tenantIndex++;
        }
    }

    private void checkPrefix(String host, JsonNode value, String place) {
        if (!value.isTextual()) {
            return;
        }
        String prefix = value.asText();
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            add(
                    Code.BAD_PREFIX,
                    place,
                    "a prefix that begins and ends with a slash was expected, found "
                            + SchemaCheck.describe(value, place));
        }
        String earlierPlace = placesByPrefix.putIfAbsent(host + " " + prefix, place);
        if (earlierPlace != null) {
            add(
                    Code.SAME_PLACE,
                    place,
                    "a prefix that no other route of this host has was expected, found "
                            + SchemaCheck.describe(value, place) + " as at " + earlierPlace);
        }
    }

    private void checkDispatch(JsonNode dispatch, String place) {
        if (!dispatch.isObject()) {
            return;
        }
        boolean hasDepot = dispatch.hasNonNull("depot");
        if (hasDepot == dispatch.hasNonNull("split")) {
            add(Code.SCHEMA, place, "either depot or split was expected, found " + (hasDepot ? "both" : "none"));
        }
        checkService(dispatch.path("depot"), place + "/depot");
        int shareIndex = 0;
        for (JsonNode share : dispatch.path("split")) {
            String sharePlace = place + "/split/" + shareIndex++;
            checkService(share.path("depot"), sharePlace + "/depot");
            if (share.path("share").asDouble() < 0) {
                add(
                        Code.BELOW_ZERO,
                        sharePlace + "/share",
                        "0 or more was expected, found " + SchemaCheck.describe(share.path("share"), sharePlace));
            }
        }
        JsonNode timeout = dispatch.path("timeoutMs");
        if (timeout.asDouble() > MAX_TIMEOUT_MS) {
            add(
                    Code.LONG_TIMEOUT,
                    place + "/timeoutMs",
                    "600000 ms (ten minutes) or less was expected, found " + SchemaCheck.describe(timeout, place));
        }
        JsonNode attempts = dispatch.path("attempts");
        if (attempts.isNumber() && attempts.asDouble() < 1) {
            add(
                    Code.NO_ATTEMPTS,
                    place + "/attempts",
                    "1 or more was expected, found " + SchemaCheck.describe(attempts, place));
        }
    }

    private void checkService(JsonNode name, String place) {
        boolean hasRoom = problems.size() < ConfigurationCheck.MAX_PROBLEMS;
        if (hasRoom && name.isTextual() && !services.containsKey(name.asText())) {
            String nearest = NearestName.of(name.asText(), services.keySet());
            add(
                    Code.UNKNOWN_SERVICE,
                    place,
                    "a service of /fleets was expected, found "
                            + SchemaCheck.describe(name, place)
                            + (nearest == null ? "" : "; the nearest one is \"" + nearest + "\""));
        }
    }
}
