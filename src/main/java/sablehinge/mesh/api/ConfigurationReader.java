package sablehinge.mesh.api;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import sablehinge.mesh.routing.Configuration;
import sablehinge.mesh.routing.HostNames;

/**
 * Reads a configuration from bytes that {@link ConfigurationCheck} has accepted, token by token. It uses no schema,
 * mapper or lambdas, so that few classes are loaded at start. Unknown fields are skipped.
 */
public final class ConfigurationReader {

    private static final JsonFactory JSON = new JsonFactory();

    private ConfigurationReader() {}

    /**
     * Reads the configuration in a body. Optional fields and their defaults are {@code senders} (no tenants), a
     * tenant's {@code priority} (-1), {@code perS} and {@code burst} (0), a route's {@code open} (false),
     * {@code priority} (0) and {@code targetMs} (its timeout). Any other missing field is read as an empty value;
     * rejecting it is the task of the check.
     *
     * @throws CheckException if the bytes cannot be read as a configuration
     */
    public static Configuration read(byte[] body) {
        try (JsonParser parser = JSON.createParser(body)) {
            parser.nextToken();
            return configuration(parser);
        } catch (JsonProcessingException e) {
            throw notJson(e);
        } catch (IOException e) {
            throw new CheckException(CheckException.Code.NOT_JSON, "/", String.valueOf(e.getMessage()));
        }
    }

    static CheckException notJson(JsonProcessingException e) {
        String reason = e.getOriginalMessage().lines().findFirst().orElse("");
        return new CheckException(
                CheckException.Code.NOT_JSON,
                locationText(e.getLocation()),
                "one whole JSON object was expected: " + reason);
    }

    static String locationText(JsonLocation location) {
        return location == null
                ? "line 1, column 1 (byte 0)"
                : "line " + location.getLineNr() + ", column " + location.getColumnNr() + " (byte "
                        + Math.max(0, location.getByteOffset()) + ")";
    }

    private static Configuration configuration(JsonParser parser) throws IOException {
        long edition = 0;
        Configuration.Limits limits = new Configuration.Limits(0, 0, 0, 0);
        List<Configuration.Tenant> tenants = new ArrayList<>();
        List<Configuration.Route> routes = new ArrayList<>();
        List<Configuration.Service> services = new ArrayList<>();
        expect(parser, JsonToken.START_OBJECT);
        for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
            parser.nextToken();
            switch (field) {
                case "edition" -> edition = parser.getLongValue();
                case "limits" -> limits = limits(parser);
                case "senders" -> {
                    for (boolean more = moveToFirst(parser); more; more = moveToNext(parser)) {
                        tenants.add(tenant(parser));
                    }
                }
                case "gates" -> {
                    for (boolean more = moveToFirst(parser); more; more = moveToNext(parser)) {
                        readGate(parser, routes);
                    }
                }
                case "fleets" -> {
                    for (boolean more = moveToFirst(parser); more; more = moveToNext(parser)) {
                        services.add(service(parser));
                    }
                }
                default -> parser.skipChildren();
            }
        }
        return new Configuration(edition, limits, tenants, routes, services);
    }

    private static Configuration.Limits limits(JsonParser parser) throws IOException {
        int headerBytes = 0;
        long bodyBytes = 0;
        double headerMs = 0;
        double idleMs = 0;
        expect(parser, JsonToken.START_OBJECT);
        for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
            parser.nextToken();
            switch (field) {
                case "headerBytes" -> headerBytes = parser.getIntValue();
                case "bodyBytes" -> bodyBytes = parser.getLongValue();
                case "headerMs" -> headerMs = parser.getDoubleValue();
                case "idleMs" -> idleMs = parser.getDoubleValue();
                default -> parser.skipChildren();
            }
        }
        return new Configuration.Limits(headerBytes, bodyBytes, headerMs, idleMs);
    }

    private static Configuration.Tenant tenant(JsonParser parser) throws IOException {
        String name = "";
        List<String> keys = new ArrayList<>();
        int priority = -1;
        double perSecond = 0;
        double burst = 0;
        expect(parser, JsonToken.START_OBJECT);
        for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
            boolean isNull = parser.nextToken() == JsonToken.VALUE_NULL;
            switch (field) {
                case "name" -> name = parser.getText();
                case "passes" -> {
                    for (boolean more = moveToFirst(parser); more; more = moveToNext(parser)) {
                        keys.add(parser.getText());
                    }
                }
                case "priority" -> priority = isNull ? -1 : parser.getIntValue();
                case "perS" -> perSecond = isNull ? 0 : parser.getDoubleValue();
                case "burst" -> burst = isNull ? 0 : parser.getDoubleValue();
                default -> parser.skipChildren();
            }
        }
        return new Configuration.Tenant(name, keys, priority, perSecond, burst);
    }

    /** The field {@code station} may come after the gate's routes. */
    private static void readGate(JsonParser parser, List<Configuration.Route> routes) throws IOException {
        String[] host = {""};
        List<Configuration.Route> gateRoutes = new ArrayList<>();
        expect(parser, JsonToken.START_OBJECT);
        for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
            parser.nextToken();
            switch (field) {
                case "station" -> host[0] = HostNames.normal(parser.getText());
                case "regulations" -> {
                    for (boolean more = moveToFirst(parser); more; more = moveToNext(parser)) {
                        gateRoutes.add(route(parser));
                    }
                }
                default -> parser.skipChildren();
            }
        }
        for (Configuration.Route route : gateRoutes) {
            routes.add(new Configuration.Route(
                    route.name(),
                    host[0],
                    route.prefix(),
                    route.kind(),
                    route.targetMs(),
                    route.priority(),
                    route.open(),
                    route.split(),
                    route.timeoutMs(),
                    route.attempts()));
        }
    }

    private static Configuration.Route route(JsonParser parser) throws IOException {
        String name = "";
        Configuration.Kind kind = Configuration.Kind.UNSAFE;
        double targetMs = -1;
        int priority = 0;
        boolean open = false;
        String prefix = "";
        Dispatch dispatch = new Dispatch();
        expect(parser, JsonToken.START_OBJECT);
        for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
            boolean isNull = parser.nextToken() == JsonToken.VALUE_NULL;
            switch (field) {
                case "name" -> name = parser.getText();
                case "kind" -> kind = kind(parser.getText());
                case "targetMs" -> targetMs = isNull ? -1 : parser.getDoubleValue();
                case "priority" -> priority = isNull ? 0 : parser.getIntValue();
                case "open" -> open = !isNull && parser.getBooleanValue();
                case "sorting" -> prefix = readSorting(parser);
                case "dispatch" -> dispatch.read(parser);
                default -> parser.skipChildren();
            }
        }
        return new Configuration.Route(
                name,
                "",
                prefix,
                kind,
                targetMs < 0 ? dispatch.timeoutMs : targetMs,
                priority,
                open,
                dispatch.split,
                dispatch.timeoutMs,
                dispatch.attempts);
    }

    /** An unknown kind is treated as one that must not be repeated. */
    private static Configuration.Kind kind(String text) {
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "safe" -> Configuration.Kind.SAFE;
            case "upload" -> Configuration.Kind.UPLOAD;
            default -> Configuration.Kind.UNSAFE;
        };
    }

    private static String readSorting(JsonParser parser) throws IOException {
        String prefix = "";
        expect(parser, JsonToken.START_OBJECT);
        for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
            parser.nextToken();
            if (field.equals("lanePrefix")) {
                prefix = parser.getText();
            } else {
                parser.skipChildren();
            }
        }
        return prefix;
    }

    private static Configuration.Service service(JsonParser parser) throws IOException {
        String name = "";
        String healthPath = "";
        int connCap = 0;
        expect(parser, JsonToken.START_OBJECT);
        for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
            parser.nextToken();
            switch (field) {
                case "name" -> name = parser.getText();
                case "healthPath" -> healthPath = parser.getText();
                case "connCap" -> connCap = parser.getIntValue();
                default -> parser.skipChildren();
            }
        }
        return new Configuration.Service(name, healthPath, connCap);
    }

    /** Moves to the first item of the list that begins here; false if there is none. Null stands for an empty list. */
    private static boolean moveToFirst(JsonParser parser) throws IOException {
        if (parser.currentToken() == JsonToken.VALUE_NULL) {
            return false;
        }
        expect(parser, JsonToken.START_ARRAY);
        return moveToNext(parser);
    }

    private static boolean moveToNext(JsonParser parser) throws IOException {
        return parser.nextToken() != JsonToken.END_ARRAY;
    }

    private static void expect(JsonParser parser, JsonToken token) {
        if (parser.currentToken() != token) {
            String pointer = parser.getParsingContext().pathAsPointer().toString();
            throw new CheckException(
                    CheckException.Code.SCHEMA,
                    pointer.isEmpty() ? "/" : pointer,
                    token + " was expected, found " + parser.currentToken());
        }
    }

    /** The services of a route; a single service has a share of 1. */
    private static final class Dispatch {

        private List<Configuration.Share> split = List.of();

        private double timeoutMs;

        private int attempts;

        void read(JsonParser parser) throws IOException {
            expect(parser, JsonToken.START_OBJECT);
            for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
                boolean isNull = parser.nextToken() == JsonToken.VALUE_NULL;
                switch (field) {
                    case "depot" -> split = isNull ? split : List.of(new Configuration.Share(parser.getText(), 1));
                    case "split" -> {
                        List<Configuration.Share> shares = new ArrayList<>();
                        for (boolean more = moveToFirst(parser); more; more = moveToNext(parser)) {
                            shares.add(share(parser));
                        }
                        split = isNull ? split : shares;
                    }
                    case "timeoutMs" -> timeoutMs = parser.getDoubleValue();
                    case "attempts" -> attempts = parser.getIntValue();
                    default -> parser.skipChildren();
                }
            }
        }

        private static Configuration.Share share(JsonParser parser) throws IOException {
            String service = "";
            double weight = 0;
            expect(parser, JsonToken.START_OBJECT);
            for (String field = parser.nextFieldName(); field != null; field = parser.nextFieldName()) {
                parser.nextToken();
                switch (field) {
                    case "depot" -> service = parser.getText();
                    case "share" -> weight = parser.getDoubleValue();
                    default -> parser.skipChildren();
                }
            }
            return new Configuration.Share(service, weight);
        }
    }
}
