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
 * Reads a configuration from bytes that {@link ConfigurationCheck} has passed, token by token: no schema, no mapper, no
 * lambda, little to load at start. Fields that it does not know are skipped.
 */
public final class ConfigurationReader {

    private static final JsonFactory JSON = new JsonFactory();

    private ConfigurationReader() {}

    /**
     * The configuration in a body. What may be missing: {@code senders} (no tenants), a tenant's {@code priority} (-1),
     * {@code perS} and {@code burst} (0), a route's {@code open} (false), {@code priority} (0) and {@code targetMs}
     * (its time-out). Of what else is missing, the empty value is taken: to refuse it is the check's part.
     *
     * @throws CheckException where the bytes can't be read as a configuration at all
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
        String why = e.getOriginalMessage().lines().findFirst().orElse("");
        return new CheckException(
                CheckException.Code.NOT_JSON, place(e.getLocation()), "one whole JSON object was expected: " + why);
    }

    static String place(JsonLocation at) {
        return at == null
                ? "line 1, column 1 (byte 0)"
                : "line " + at.getLineNr() + ", column " + at.getColumnNr() + " (byte "
                        + Math.max(0, at.getByteOffset()) + ")";
    }

    private static Configuration configuration(JsonParser in) throws IOException {
        long edition = 0;
        Configuration.Limits limits = new Configuration.Limits(0, 0, 0, 0);
        List<Configuration.Tenant> tenants = new ArrayList<>();
        List<Configuration.Route> routes = new ArrayList<>();
        List<Configuration.Service> services = new ArrayList<>();
        expect(in, JsonToken.START_OBJECT);
        for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
            in.nextToken();
            switch (field) {
                case "edition" -> edition = in.getLongValue();
                case "limits" -> limits = limits(in);
                case "senders" -> {
                    for (boolean more = first(in); more; more = next(in)) {
                        tenants.add(tenant(in));
                    }
                }
                case "gates" -> {
                    for (boolean more = first(in); more; more = next(in)) {
                        gate(in, routes);
                    }
                }
                case "fleets" -> {
                    for (boolean more = first(in); more; more = next(in)) {
                        services.add(service(in));
                    }
                }
                default -> in.skipChildren();
            }
        }
        return new Configuration(edition, limits, tenants, routes, services);
    }

    private static Configuration.Limits limits(JsonParser in) throws IOException {
        int headerBytes = 0;
        long bodyBytes = 0;
        double headerMs = 0;
        double idleMs = 0;
        expect(in, JsonToken.START_OBJECT);
        for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
            in.nextToken();
            switch (field) {
                case "headerBytes" -> headerBytes = in.getIntValue();
                case "bodyBytes" -> bodyBytes = in.getLongValue();
                case "headerMs" -> headerMs = in.getDoubleValue();
                case "idleMs" -> idleMs = in.getDoubleValue();
                default -> in.skipChildren();
            }
        }
        return new Configuration.Limits(headerBytes, bodyBytes, headerMs, idleMs);
    }

    private static Configuration.Tenant tenant(JsonParser in) throws IOException {
        String name = "";
        List<String> keys = new ArrayList<>();
        int priority = -1;
        double perSecond = 0;
        double burst = 0;
        expect(in, JsonToken.START_OBJECT);
        for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
            boolean none = in.nextToken() == JsonToken.VALUE_NULL;
            switch (field) {
                case "name" -> name = in.getText();
                case "passes" -> {
                    for (boolean more = first(in); more; more = next(in)) {
                        keys.add(in.getText());
                    }
                }
                case "priority" -> priority = none ? -1 : in.getIntValue();
                case "perS" -> perSecond = none ? 0 : in.getDoubleValue();
                case "burst" -> burst = none ? 0 : in.getDoubleValue();
                default -> in.skipChildren();
            }
        }
        return new Configuration.Tenant(name, keys, priority, perSecond, burst);
    }

    /** The field {@code station} may come after the gate's routes. */
    private static void gate(JsonParser in, List<Configuration.Route> routes) throws IOException {
        String[] host = {""};
        List<Configuration.Route> own = new ArrayList<>();
        expect(in, JsonToken.START_OBJECT);
        for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
            in.nextToken();
            switch (field) {
                case "station" -> host[0] = HostNames.normal(in.getText());
                case "regulations" -> {
                    for (boolean more = first(in); more; more = next(in)) {
                        own.add(route(in));
                    }
                }
                default -> in.skipChildren();
            }
        }
        for (Configuration.Route route : own) {
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

    private static Configuration.Route route(JsonParser in) throws IOException {
        String name = "";
        Configuration.Kind kind = Configuration.Kind.UNSAFE;
        double targetMs = -1;
        int priority = 0;
        boolean open = false;
        String prefix = "";
        Dispatch dispatch = new Dispatch();
        expect(in, JsonToken.START_OBJECT);
        for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
            boolean none = in.nextToken() == JsonToken.VALUE_NULL;
            switch (field) {
                case "name" -> name = in.getText();
                case "kind" -> kind = kind(in.getText());
                case "targetMs" -> targetMs = none ? -1 : in.getDoubleValue();
                case "priority" -> priority = none ? 0 : in.getIntValue();
                case "open" -> open = !none && in.getBooleanValue();
                case "sorting" -> prefix = sorting(in);
                case "dispatch" -> dispatch.read(in);
                default -> in.skipChildren();
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

    /** A kind that this version does not know is not one to repeat. */
    private static Configuration.Kind kind(String text) {
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "safe" -> Configuration.Kind.SAFE;
            case "upload" -> Configuration.Kind.UPLOAD;
            default -> Configuration.Kind.UNSAFE;
        };
    }

    private static String sorting(JsonParser in) throws IOException {
        String prefix = "";
        expect(in, JsonToken.START_OBJECT);
        for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
            in.nextToken();
            if (field.equals("lanePrefix")) {
                prefix = in.getText();
            } else {
                in.skipChildren();
            }
        }
        return prefix;
    }

    private static Configuration.Service service(JsonParser in) throws IOException {
        String name = "";
        String healthPath = "";
        int connCap = 0;
        expect(in, JsonToken.START_OBJECT);
        for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
            in.nextToken();
            switch (field) {
                case "name" -> name = in.getText();
                case "healthPath" -> healthPath = in.getText();
                case "connCap" -> connCap = in.getIntValue();
                default -> in.skipChildren();
            }
        }
        return new Configuration.Service(name, healthPath, connCap);
    }

    /** Whether there is a first item in the list that begins here; null stands for an empty list. */
    private static boolean first(JsonParser in) throws IOException {
        if (in.currentToken() == JsonToken.VALUE_NULL) {
            return false;
        }
        expect(in, JsonToken.START_ARRAY);
        return next(in);
    }

    private static boolean next(JsonParser in) throws IOException {
        return in.nextToken() != JsonToken.END_ARRAY;
    }

    private static void expect(JsonParser in, JsonToken token) {
        if (in.currentToken() != token) {
            String pointer = in.getParsingContext().pathAsPointer().toString();
            throw new CheckException(
                    CheckException.Code.SCHEMA,
                    pointer.isEmpty() ? "/" : pointer,
                    token + " was expected, found " + in.currentToken());
        }
    }

    /** Where a route leads; a single service has a share of 1. */
    private static final class Dispatch {

        private List<Configuration.Share> split = List.of();

        private double timeoutMs;

        private int attempts;

        void read(JsonParser in) throws IOException {
            expect(in, JsonToken.START_OBJECT);
            for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
                boolean none = in.nextToken() == JsonToken.VALUE_NULL;
                switch (field) {
                    case "depot" -> split = none ? split : List.of(new Configuration.Share(in.getText(), 1));
                    case "split" -> {
                        List<Configuration.Share> parts = new ArrayList<>();
                        for (boolean more = first(in); more; more = next(in)) {
                            parts.add(share(in));
                        }
                        split = none ? split : parts;
                    }
                    case "timeoutMs" -> timeoutMs = in.getDoubleValue();
                    case "attempts" -> attempts = in.getIntValue();
                    default -> in.skipChildren();
                }
            }
        }

        private static Configuration.Share share(JsonParser in) throws IOException {
            String service = "";
            double part = 0;
            expect(in, JsonToken.START_OBJECT);
            for (String field = in.nextFieldName(); field != null; field = in.nextFieldName()) {
                in.nextToken();
                switch (field) {
                    case "depot" -> service = in.getText();
                    case "share" -> part = in.getDoubleValue();
                    default -> in.skipChildren();
                }
            }
            return new Configuration.Share(service, part);
        }
    }
}
