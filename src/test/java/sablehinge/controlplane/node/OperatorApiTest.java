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

/** What operators are answered, by the operations' own types: no socket, no thread, a clock that is set. */
class OperatorApiTest {

    private static final Member ONE = new Member(1, "10.0.0.1:7780", "10.0.0.1:7701");
    private static final Member TWO = new Member(3, "10.0.0.2:7780", "10.0.0.2:7701");

    private final ConfigurationState configurations = new ConfigurationState();
    private final Registry registry = new Registry(2_500, 12_000);
    private final Pool pool = new Pool();
    private final Map<Long, Double> unresponsive = new HashMap<>();
    private RaftStatus raftStatus = new RaftStatus(RaftStatus.Role.LEADER, 7, ONE, List.of(ONE, TWO));
    private boolean sure = true;
    private Runnable duringCheck = () -> {};
    private double sinceMajorityMs = 50;
    private double sinceLeaderMs = 50;
    private final QuorumGate gate = new QuorumGate(new ScriptedContact(), Runnable::run);
    private final ChangeCoordinator changes = new ChangeCoordinator(null, configurations, Runnable::run);
    private double now = 10_000;

    /** The core as the test sets it. */
    private final class ScriptedContact implements QuorumGate.RaftView {

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
            gate.barrierEnded(at, token, sure);
        }
    }

    private final class Scripted implements CallContext {

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
            return new RaftMetrics(42, 250.4, unresponsive);
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
            duringCheck.run();
            work.run();
        }

        @Override
        public void runOnLoop(Runnable work) {
            work.run();
        }
    }

    private ApiResponse call(String path, HttpHeaders headers, String body) {
        CallContext context = new Scripted();
        ControlStatus status = new ControlStatus(
                "core-1", "z-a", ONE.control(), registry, new WatchServer<String>(registry), pool, context);
        for (Operation<?, ?> one : OperatorApi.all(context, status)) {
            if (one.path().equals("/sablehinge/" + path)) {
                return carry(one, new ApiRequest("", headers, body.getBytes(StandardCharsets.UTF_8)));
            }
        }
        throw new AssertionError("no operation at " + path);
    }

    private static <Q, A> ApiResponse carry(Operation<Q, A> operation, ApiRequest requested) {
        ApiResponse[] reply = new ApiResponse[1];
        operation.execute(operation.read(requested), answer -> reply[0] = operation.write(answer));
        return reply[0];
    }

    private <T> T fetch(String path, Class<T> type) throws IOException {
        ApiResponse reply = call(path, new DefaultHttpHeaders(), "");
        assertEquals(200, reply.status());
        return new ObjectMapper().readValue(reply.body(), type);
    }

    private void tells(double at, String node, String upstream, boolean ready) {
        registry.register(at, new Registration(node, "z-a", "10.0.1.1:7703", "basalt", upstream, ready, 12, 0));
    }

    @Test
    void whoFollowsNobodySaysSoOfItselfAndSendsNobodyElsewhere() throws IOException {
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
    void whoFollowsSendsQuestionsOfTheRollToTheLeader() {
        raftStatus = new RaftStatus(RaftStatus.Role.FOLLOWER, 7, TWO, List.of(ONE, TWO));
        ApiResponse reply = call("Mesh.Duties", new DefaultHttpHeaders(), "");
        assertEquals(307, reply.status());
        assertEquals("http://10.0.0.2:7701/sablehinge/Mesh.Duties", reply.location());
    }

    @Test
    void theLeaderTellsWhoIsReadyWhoDrainsAndWhoIsGone() throws IOException {
        registry.reset(0);
        unresponsive.put(TWO.id(), 180.2);
        tells(0, "n-gone", "i-4", true);
        tells(9_000, "n-ready", "i-1", true);
        tells(9_500, "n-drains", "i-2", false);
        tells(9_990, "n-empty", "", false);
        now = 12_100;
        MeshNodes nodes = fetch("Mesh.Nodes", MeshNodes.class);
        assertEquals(
                List.of("n-drains draining 2600", "n-empty empty 2110", "n-gone gone 12100", "n-ready ready 3100"),
                nodes.balancers().stream()
                        .map(one -> one.node() + " " + one.state() + " " + one.silentMs())
                        .toList());
        assertEquals(180, nodes.members().get(1).silentMs());
        MeshStatus.Plane plane = fetch("Mesh.Status", MeshStatus.class).plane();
        assertEquals(3, plane.known());
        assertEquals(1, plane.ready());
        assertEquals(List.of(new MeshStatus.Service("basalt", 3, 1, 12)), plane.services());
    }

    @Test
    void thePoolsAreToldWithWhatIsLeftOfThem() throws IOException {
        pool.adopt(0, Map.of("t", new Quota(10, 100)));
        assertEquals(15, pool.take(5_000, "t", 15));
        MeshSingletonRoles singletonRoles = fetch("Mesh.Duties", MeshSingletonRoles.class);
        assertEquals(250, singletonRoles.leaseMs());
        // 4 a second of 10 are the pool's: 20 come within 5 s, and 20 within the other 5 s.
        assertEquals(List.of(new MeshSingletonRoles.Pool("t", 4, 40, 25)), singletonRoles.pools());
    }

    @Test
    void theHistoryIsToldOnlyWhereAMajorityConfirms() throws IOException {
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
        sure = false;
        assertEquals(503, call("Config.History", new DefaultHttpHeaders(), "").status());
    }

    /** Its copies may have been answered by whoever led in between; the log of this term is another. */
    @Test
    void anOrderThatCameInAnEarlierTermIsLeftWithoutAClearAnswer() throws IOException {
        String body = OperatorModel.body(3, 1);
        duringCheck = () -> raftStatus = new RaftStatus(RaftStatus.Role.LEADER, 9, ONE, List.of(ONE, TWO));
        assertEquals(503, replaced(body));
        duringCheck = () -> raftStatus = new RaftStatus(RaftStatus.Role.FOLLOWER, 9, TWO, List.of(ONE, TWO));
        raftStatus = new RaftStatus(RaftStatus.Role.LEADER, 9, ONE, List.of(ONE, TWO));
        assertEquals(307, replaced(body));
    }

    private int replaced(String body) {
        return call("Config.Replace", new DefaultHttpHeaders().add("Sablehinge-Based-On", "0"), body)
                .status();
    }

    @Test
    void aRefusalNamesItsCodeAndItsPlace() throws IOException {
        ApiResponse reply =
                call("Config.Replace", new DefaultHttpHeaders().add("Sablehinge-Based-On", "0"), "{\"edition\":1}");
        assertEquals(400, reply.status());
        var error = new ObjectMapper().readTree(reply.body());
        assertEquals("SCHEMA", error.path("code").asText());
        assertTrue(error.path("place").asText().startsWith("/"), () -> error.toString());
    }
}
