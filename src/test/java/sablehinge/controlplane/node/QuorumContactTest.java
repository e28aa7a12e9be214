package sablehinge.controlplane.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import sablehinge.mesh.api.ApiResponse;

/** Which requests a control node answers without contact with a majority, on a simulated clock. */
class QuorumContactTest {

    private static final long PAUSE_MS = 20_000;

    private final ControlCluster cluster = new ControlCluster(7, 3);

    private ControlCluster.Machine awaitStableLeader() {
        ControlCluster.Machine leader = cluster.awaitLeader();
        cluster.advance(1_000);
        return leader;
    }

    private ApiResponse call(ControlCluster.Machine at, ControlRequest request, long basedOn, String body) {
        ApiResponse[] result = new ApiResponse[1];
        at.call(request, basedOn, body, reply -> result[0] = reply);
        cluster.advance(950);
        return result[0];
    }

    private int replace(ControlCluster.Machine at, long basedOn, long edition) {
        return call(at, ControlRequest.CONFIG_REPLACE, basedOn, OperatorModel.body(edition, 1))
                .status();
    }

    /** Every path of the operator API must be declared with its required contact. */
    @Test
    void declaresRequiredContactOfEveryOperation() {
        Set<String> declared = new HashSet<>();
        Arrays.stream(ControlRequest.values())
                .filter(request -> request.path() != null)
                .forEach(request -> assertTrue(declared.add(request.path()), request.path()));
        Set<String> served = new HashSet<>();
        awaitStableLeader().operations.forEach(operation -> served.add(operation.path()));
        assertEquals(declared, served);
    }

    @ParameterizedTest
    @EnumSource(ControlRequest.class)
    void refusesRequestsThatNeedAMajorityWithoutOne(ControlRequest request) {
        ControlCluster.Machine leader = awaitStableLeader();
        cluster.partition(leader, true, true);
        cluster.advance(1_000);
        boolean needsNoContact = request.contact() == QuorumContact.NONE;
        assertEquals(needsNoContact, leader.gate.allows(cluster.now(), request));
        if (request.path() != null) {
            int status = call(leader, request, 0, OperatorModel.body(3, 1)).status();
            assertEquals(needsNoContact ? 200 : 503, status);
        }
    }

    @ParameterizedTest
    @EnumSource(ControlRequest.class)
    void singleNodeIsItsOwnMajority(ControlRequest request) {
        ControlCluster.Machine single =
                new ControlCluster(7, 1).machines.values().iterator().next();
        while (single.state.edition() == 0) {
            single.call(ControlRequest.CONFIG_REPLACE, 0, OperatorModel.body(3, 1), reply -> {});
            single.cluster().advance(300);
        }
        assertTrue(single.gate.allows(single.now(), request));
    }

    /** After a pause, a process handles its buffered requests before its first tick. */
    @ParameterizedTest
    @EnumSource(ControlRequest.class)
    void resumedLeaderDoesNotAnswerBufferedRequestsFromStaleState(ControlRequest request) {
        ControlCluster.Machine leader = awaitStableLeader();
        assertEquals(200, replace(leader, 0, 3));
        leader.pause();
        cluster.advance(2_000);
        ControlCluster.Machine next = cluster.awaitLeader();
        assertNotEquals(leader, next);
        assertEquals(200, replace(next, 3, 5));
        List<Integer> statuses = new ArrayList<>();
        if (request.path() != null) {
            leader.call(request, 3, OperatorModel.body(4, 1), reply -> statuses.add(reply.status()));
        }
        cluster.advance(PAUSE_MS);
        boolean needsNoContact = request.contact() == QuorumContact.NONE;
        // Its oldest buffered messages are from before the election, when it was still the leader.
        assertEquals(needsNoContact, leader.gate.allows(cluster.now(), request));
        leader.resume();
        cluster.advance(950);
        for (int status : statuses) {
            assertTrue(needsNoContact ? status == 200 : status == 503 || status == 307, request + ": " + status);
        }
        assertEquals(request.path() == null ? 0 : 1, statuses.size());
    }

    /** Buffered answers make the peers look alive, but they don't belong to a recent heartbeat round. */
    @Test
    void bufferedHeartbeatAnswersAreNoRecentContact() {
        ControlCluster.Machine leader = awaitStableLeader();
        // The read starts a heartbeat round at once; its answers arrive while the leader is paused.
        leader.call(ControlRequest.CONFIG_READ, 0, "", reply -> {});
        cluster.advance(0.1);
        leader.pause();
        cluster.advance(5);
        cluster.others(leader).forEach(ControlCluster.Machine::kill);
        cluster.advance(PAUSE_MS);
        leader.resume();
        assertTrue(leader.raft.sinceMajorityMs(cluster.now()) >= PAUSE_MS);
        assertFalse(leader.gate.allows(cluster.now(), ControlRequest.WATCH));
        assertFalse(leader.gate.allows(cluster.now(), ControlRequest.RETRY_SHARES));
    }

    @Test
    void pausedOrPartitionedFollowerDoesNotRedirectToStaleLeader() {
        ControlCluster.Machine leader = awaitStableLeader();
        ControlCluster.Machine follower = cluster.others(leader).get(0);
        ApiResponse reply = call(follower, ControlRequest.CONFIG_READ, 0, "");
        assertEquals(307, reply.status());
        assertEquals("http://" + leader.member.control() + "/sablehinge/Config.Read", reply.location());
        follower.pause();
        ApiResponse[] bufferedReply = new ApiResponse[1];
        cluster.partition(follower, true, true);
        cluster.advance(5);
        follower.call(ControlRequest.CONFIG_READ, 0, "", result -> bufferedReply[0] = result);
        cluster.advance(PAUSE_MS);
        assertNull(follower.gate.refusal(cluster.now()).leader());
        follower.resume();
        cluster.advance(100);
        assertEquals(503, bufferedReply[0].status());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneWayPartitionedLeaderRefusesNothingFinallyAndOthersContinue(boolean outward) {
        ControlCluster.Machine leader = awaitStableLeader();
        assertEquals(200, replace(leader, 0, 3));
        cluster.partition(leader, outward, !outward);
        cluster.advance(3_000);
        assertTrue(replace(leader, 3, 4) >= 307);
        assertTrue(replace(leader, 0, 2) >= 500 || replace(leader, 0, 2) == 307);
        ControlCluster.Machine next = cluster.awaitLeader();
        assertEquals(200, replace(next, 3, 5));
        assertEquals(412, replace(next, 3, 4));
        cluster.heal();
        cluster.advance(3_000);
        assertEquals(200, replace(cluster.awaitLeader(), 3, 5));
        assertEquals(412, replace(cluster.awaitLeader(), 3, 4));
    }

    /** The new leader has the earlier entries in its log but has not applied them, so its state must decide nothing. */
    @Test
    void newLeaderDecidesNothingBeforeApplyingEarlierEntries() {
        ControlCluster.Machine leader = awaitStableLeader();
        assertEquals(200, replace(leader, 0, 3));
        leader.kill();
        ControlCluster.Machine next = null;
        while (next == null) {
            cluster.advance(0.1);
            next = cluster.leader();
        }
        cluster.machines.values().forEach(machine -> machine.stall(5_000));
        assertEquals(503, replace(next, 0, 2));
        assertEquals(503, replace(next, 2, 4));
        assertEquals(503, call(next, ControlRequest.CONFIG_READ, 0, "").status());
        cluster.advance(5_000);
        next = cluster.awaitLeader();
        assertEquals(412, replace(next, 0, 2));
        assertEquals(400, replace(next, 3, 2));
        assertEquals(
                OperatorModel.body(3, 1),
                new String(call(next, ControlRequest.CONFIG_READ, 0, "").body(), StandardCharsets.UTF_8));
    }

    /** Copies of a pending request wait for its entry; the log has only one entry. */
    @Test
    void resentChangeInFlightHasOneEntryAndOneAnswer() {
        ControlCluster.Machine leader = awaitStableLeader();
        cluster.others(leader).forEach(machine -> machine.stall(400));
        List<Integer> statuses = new ArrayList<>();
        for (int copy = 0; copy < 3; copy++) {
            leader.call(
                    ControlRequest.CONFIG_REPLACE, 0, OperatorModel.body(3, 1), reply -> statuses.add(reply.status()));
            cluster.advance(50);
        }
        long before = leader.metrics().commit();
        cluster.advance(900);
        assertEquals(List.of(200, 200, 200), statuses);
        assertEquals(before + 1, leader.metrics().commit());
    }
}
