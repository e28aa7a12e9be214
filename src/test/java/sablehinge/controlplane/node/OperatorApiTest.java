package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sablehinge.controlplane.api.Editions;
import sablehinge.controlplane.api.MeshNodes;
import sablehinge.controlplane.api.MeshSingletonRoles;
import sablehinge.controlplane.api.MeshStatus;
import sablehinge.controlplane.raft.Member;
import sablehinge.controlplane.raft.RaftMetrics;
import sablehinge.controlplane.raft.RaftStatus;
import sablehinge.controlplane.state.ConfigurationState;
import sablehinge.controlplane.state.Registry;
import sablehinge.mesh.api.ApiRequest;
import sablehinge.mesh.api.ApiResponse;
import sablehinge.mesh.api.Operation;
import sablehinge.mesh.quota.Pool;
import sablehinge.mesh.quota.Quota;
import sablehinge.mesh.watch.Registration;

/** Answers of the operator API, without sockets or threads and with a manual clock. */
class OperatorApiTest {

    private static final Member ONE = new Member(1, "10.0.0.1:7780", "10.0.0.1:7701");
    private static final Member TWO = new Member(3, "10.0.0.2:7780", "10.0.0.2:7701");

    private final ConfigurationState configurations = new ConfigurationState();
    private final Registry registry = new Registry(2_500, 12_000);
    private final Pool pool = new Pool();
    private final Map<Long, Double> sinceLastMessageMs = new HashMap<>();
    private RaftStatus raftStatus = new RaftStatus(RaftStatus.Role.LEADER, 7, ONE, List.of(ONE, TWO));
    private boolean majorityConfirms = true;
    private Runnable duringValidation = () -> {};
    private double sinceMajorityMs = 50;
    private double sinceLeaderMs = 50;
    private final QuorumGate gate = new QuorumGate(new ScriptedRaftView(), Runnable::run);
    private final ChangeCoordinator changes = new ChangeCoordinator(null, configurations, Runnable::run);
    private double now = 10_000;

    /** The Raft state as the test sets it. */
    private final class ScriptedRaftView implements QuorumGate.RaftView {

        @Override
        public RaftStatus raftStatus() {
            return raftStatus;
        }

        @Override
        public double sinceMajorityMs(double at) {
            return sinceMajorityMs;
        }

        @Override
        public double sinceLeaderMs(double at) {
            return sinceLeaderMs;
        }

        @Override
        public boolean hasLease(double at) {
            return sinceMajorityMs < 400;
        }

        @Override
        public void barrier(double at, long token) {
            gate.barrierEnded(at, token, majorityConfirms);
        }
    }

    private final class ScriptedContext implements CallContext {

        @Override
        public double now() {
            return now;
        }

        @Override
        public RaftStatus raftStatus() {
            return raftStatus;
        }

        @Override
        public Member self() {
            return ONE;
        }

        @Override
        public RaftMetrics metrics() {
            return new RaftMetrics(42, 250.4, sinceLastMessageMs);
        }

        @Override
        public long timeOfDay() {
            return 1_700_000_000_000L;
        }

        @Override
        public QuorumGate gate() {
            return gate;
        }

        @Override
        public ChangeCoordinator changes() {
            return changes;
        }

        @Override
        public void runOffLoop(Runnable work) {
            duringValidation.run();
            work.run();
        }

        @Override
        public void runOnLoop(Runnable work) {
            work.run();
        }
    }

    private ApiResponse call(String path, HttpHeaders headers, String body) {
        CallContext context = new ScriptedContext();
        ControlStatus status = new ControlStatus(
                "core-1", "z-a", ONE.control(), registry, new WatchServer<String>(registry), pool, context);
        for (Operation<?, ?> operation : OperatorApi.all(context, status)) {
            if (operation.path().equals("/sablehinge/" + path)) {
                return execute(operation, new ApiRequest("", headers, body.getBytes(StandardCharsets.UTF_8)));
            }
        }
        throw new AssertionError("no operation at " + path);
    }

    private static <Q, A> ApiResponse execute(Operation<Q, A> operation, ApiRequest request) {
        ApiResponse[] reply = new ApiResponse[1];
        operation.execute(operation.read(request), answer -> reply[0] = operation.write(answer));
        return reply[0];
    }

    private <T> T fetch(String path, Class<T> type) throws IOException {
        ApiResponse reply = call(path, new DefaultHttpHeaders(), "");
        assertEquals(200, reply.status());
        return new ObjectMapper().readValue(reply.body(), type);
    }

    private void register(double at, String node, String upstream, boolean ready) {
        registry.register(at, new Registration(node, "z-a", "10.0.1.1:7703", "basalt", upstream, ready, 12, 0));
    }

    @Test
    void candidateReportsItselfAndRedirectsNobody() throws IOException {
        raftStatus = new RaftStatus(RaftStatus.Role.CANDIDATE, 8, null, List.of(ONE, TWO));
        MeshStatus status = fetch("Mesh.Status", MeshStatus.class);
        assertEquals("candidate", status.role());
        assertEquals(42, status.commit());
        assertNull(status.leader());
        assertNull(status.plane());
        assertNull(status.members().get(1).silentMs());
        assertEquals(503, call("Mesh.Nodes", new DefaultHttpHeaders(), "").status());
    }

    @Test
    void followerRedirectsRegistryRequestsToLeader() {
        raftStatus = new RaftStatus(RaftStatus.Role.FOLLOWER, 7, TWO, List.of(ONE, TWO));
        ApiResponse reply = call("Mesh.Duties", new DefaultHttpHeaders(), "");
        assertEquals(307, reply.status());
        assertEquals("http://10.0.0.2:7701/sablehinge/Mesh.Duties", reply.location());
    }

    @Test
    void leaderReportsReadyDrainingEmptyAndGoneBalancers() throws IOException {
        registry.reset(0);
        sinceLastMessageMs.put(TWO.id(), 180.2);
        register(0, "n-gone", "i-4", true);
        register(9_000, "n-ready", "i-1", true);
        register(9_500, "n-drains", "i-2", false);
        register(9_990, "n-empty", "", false);
        now = 12_100;
        MeshNodes nodes = fetch("Mesh.Nodes", MeshNodes.class);
        assertEquals(
                List.of("n-drains draining 2600", "n-empty empty 2110", "n-gone gone 12100", "n-ready ready 3100"),
                nodes.balancers().stream()
                        .map(balancer -> balancer.node() + " " + balancer.state() + " " + balancer.silentMs())
                        .toList());
        assertEquals(180, nodes.members().get(1).silentMs());
        MeshStatus.Plane plane = fetch("Mesh.Status", MeshStatus.class).plane();
        assertEquals(3, plane.known());
        assertEquals(1, plane.ready());
        assertEquals(List.of(new MeshStatus.Service("basalt", 3, 1, 12)), plane.services());
    }

    @Test
    void reportsPoolsWithAvailableTokens() throws IOException {
        pool.adopt(0, Map.of("t", new Quota(10, 100)));
        assertEquals(15, pool.take(5_000, "t", 15));
        MeshSingletonRoles singletonRoles = fetch("Mesh.Duties", MeshSingletonRoles.class);
        assertEquals(250, singletonRoles.leaseMs());
        // The pool gets 4 of the quota's 10 per second: 20 in the first 5 s and 20 in the other 5 s.
        assertEquals(List.of(new MeshSingletonRoles.Pool("t", 4, 40, 25)), singletonRoles.pools());
    }

    @Test
    void reportsHistoryOnlyIfMajorityConfirms() throws IOException {
        configurations.apply(ConfigurationState.replace(0, 3, new byte[] {'a'}, 1_700_000_000_000L));
        assertEquals(
                new Editions(
                        3,
                        List.of(new Editions.Taken(
                                3,
                                0L,
                                1,
                                "ca978112ca1bbdcafac231b39a23dc4d" + "a786eff8147c4e72b9807785afee48bb",
                                "2023-11-14T22:13:20Z"))),
                fetch("Config.History", Editions.class));
        majorityConfirms = false;
        assertEquals(503, call("Config.History", new DefaultHttpHeaders(), "").status());
    }

    /** A leader of the terms between may have answered copies of the change, so its outcome is unknown here. */
    @Test
    void changeFromEarlierTermIsUnclear() throws IOException {
        String body = OperatorModel.body(3, 1);
        duringValidation = () -> raftStatus = new RaftStatus(RaftStatus.Role.LEADER, 9, ONE, List.of(ONE, TWO));
        assertEquals(503, replaceStatus(body));
        duringValidation = () -> raftStatus = new RaftStatus(RaftStatus.Role.FOLLOWER, 9, TWO, List.of(ONE, TWO));
        raftStatus = new RaftStatus(RaftStatus.Role.LEADER, 9, ONE, List.of(ONE, TWO));
        assertEquals(307, replaceStatus(body));
    }

    private int replaceStatus(String body) {
        return call("Config.Replace", new DefaultHttpHeaders().add("Sablehinge-Based-On", "0"), body)
                .status();
    }

    @Test
    void refusalNamesCodeAndPlace() throws IOException {
        ApiResponse reply =
                call("Config.Replace", new DefaultHttpHeaders().add("Sablehinge-Based-On", "0"), "{\"edition\":1}");
        assertEquals(400, reply.status());
        var error = new ObjectMapper().readTree(reply.body());
        assertEquals("SCHEMA", error.path("code").asText());
        assertTrue(error.path("place").asText().startsWith("/"), () -> error.toString());
    }
}
