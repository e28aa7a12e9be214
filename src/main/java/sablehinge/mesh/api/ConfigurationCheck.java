package sablehinge.mesh.api;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import sablehinge.mesh.api.CheckException.Code;
import sablehinge.mesh.api.CheckException.Problem;
import sablehinge.mesh.routing.Configuration;

/**
 * Decides whether a configuration sent by an operator is valid. The bytes must be one complete JSON value, which must
 * match a schema and pass the checks across its parts. Safe for use by any thread.
 */
public final class ConfigurationCheck {

    /** Maximum number of reported problems. */
    public static final int MAX_PROBLEMS = 20;

    /** Maximum nesting depth of lists and objects; a configuration has 8 levels. */
    private static final int MAX_NESTING = 64;

    private static final String WARM_UP_CONFIGURATION = "{\"edition\":1,\"limits\":{\"headerBytes\":1,\"bodyBytes\":1,"
            + "\"headerMs\":1,\"idleMs\":1},\"senders\":[{\"name\":\"t\",\"passes\":[\"k\"],\"priority\":0,"
            + "\"perS\":1,\"burst\":1}],\"gates\":[{\"station\":\"h\",\"regulations\":[{\"name\":\"r\","
            + "\"kind\":\"safe\",\"targetMs\":1,\"priority\":0,\"open\":false,\"sorting\":"
            + "{\"lanePrefix\":\"/\"},\"dispatch\":{\"split\":[{\"depot\":\"s\",\"share\":1}],"
            + "\"timeoutMs\":1,\"attempts\":1}}]}],\"fleets\":[{\"name\":\"s\",\"healthPath\":\"/h\","
            + "\"connCap\":1}]}";

    private ConfigurationCheck() {}

    /**
     * Checks and reads the configuration in a body.
     *
     * @throws CheckException if the configuration is invalid; it lists the first {@link #MAX_PROBLEMS} problems
     */
    public static Configuration check(byte[] body) {
        JsonNode root = parseTree(body);
        List<Problem> problems = new ArrayList<>(SchemaCheck.problems(root));
        new SemanticCheck(root, problems).check();
        if (!problems.isEmpty()) {
            throw new CheckException(problems.subList(0, Math.min(MAX_PROBLEMS, problems.size())));
        }
        return ConfigurationReader.read(body);
    }

    /**
     * Rejects an edition that is not above the current one.
     *
     * @throws CheckException with {@link Code#OLD_EDITION}
     */
    public static void checkEdition(Configuration next, long currentEdition) {
        if (next.edition() <= currentEdition) {
            throw new CheckException(
                    Code.OLD_EDITION,
                    "/edition",
                    "a number above " + currentEdition + " was expected, found " + next.edition());
        }
    }

    /** Loads all classes that a check needs, so that the first real check is not delayed. */
    public static void warm() {
        check(WARM_UP_CONFIGURATION.getBytes(StandardCharsets.UTF_8));
    }

    private static JsonNode parseTree(byte[] body) {
        try {
            JsonNode root = Mapper.JSON.readTree(body);
            if (root == null || root.isMissingNode()) {
                throw new CheckException(
                        Code.NOT_JSON,
                        ConfigurationReader.locationText(null),
                        "one whole JSON object was expected, found nothing");
            }
            return root;
        } catch (JsonProcessingException e) {
            throw ConfigurationReader.notJson(e);
        } catch (IOException e) {
            throw new CheckException(
                    Code.NOT_JSON, ConfigurationReader.locationText(null), String.valueOf(e.getMessage()));
        }
    }

    /** Holder that is loaded with the first check. */
    private static final class Mapper {

        static final JsonMapper JSON = JsonMapper.builder(JsonFactory.builder()
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .streamReadConstraints(StreamReadConstraints.builder()
                                .maxNestingDepth(MAX_NESTING)
                                .build())
                        .build())
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .build();
    }
}
