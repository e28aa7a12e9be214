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

/** What a control machine says without contact with a majority, on a made-up clock. */
class QuorumContactTest {

    private static final long FROZEN_MS = 20_000;

    private final ControlCluster cluster = new ControlCluster(7, 3);

    private ControlCluster.Machine led() {
        ControlCluster.Machine leader = cluster.awaitLeader();
        cluster.run(1_000);
        return leader;
    }

    private ApiResponse called(ControlCluster.Machine at, ControlRequest request, long basedOn, String body) {
        ApiResponse[] result = new ApiResponse[1];
        at.call(request, basedOn, body, reply -> result[0] = reply);
        cluster.run(950);
        return result[0];
    }

    private int replaced(ControlCluster.Machine at, long basedOn, long edition) {
        return called(at, ControlRequest.CONFIG_REPLACE, basedOn, OperatorModel.body(edition, 1))
                .status();
    }

    /** A follower's and a leader's view of every call must be declared, and no path be left out. */
    @Test
    void everyCallOfOperatorsIsDeclaredWithItsContact() {
        Set<String> declared = new HashSet<>();
        Arrays.stream(ControlRequest.values())
                .filter(one -> one.path() != null)
                .forEach(one -> assertTrue(declared.add(one.path()), one.path()));
        Set<String> served = new HashSet<>();
        led().operations.forEach(one -> served.add(one.path()));
        assertEquals(declared, served);
    }

    @ParameterizedTest
    @EnumSource(ControlRequest.class)
    void withoutAMajorityNothingIsAnsweredThatNeedsOne(ControlRequest request) {
        ControlCluster.Machine leader = led();
        cluster.cutOff(leader, true, true);
        cluster.run(1_000);
        boolean none = request.contact() == QuorumContact.NONE;
        assertEquals(none, leader.gate.allows(cluster.now(), request));
        if (request.path() != null) {
            int status = called(leader, request, 0, OperatorModel.body(3, 1)).status();
            assertEquals(none ? 200 : 503, status);
        }
    }

    @ParameterizedTest
    @EnumSource(ControlRequest.class)
    void aSoleMachineIsItsOwnMajority(ControlRequest request) {
        ControlCluster.Machine sole =
                new ControlCluster(7, 1).machines.values().iterator().next();
        while (sole.state.edition() == 0) {
            sole.call(ControlRequest.CONFIG_REPLACE, 0, OperatorModel.body(3, 1), reply -> {});
            sole.cluster().run(300);
        }
        assertTrue(sole.gate.allows(sole.now(), request));
    }

    /** What a process that stood still finds in its buffers comes before its first tick. */
    @ParameterizedTest
    @EnumSource(ControlRequest.class)
    void aLeaderThatThawsAnswersNothingOfThatByWhatItKnewBefore(ControlRequest request) {
        ControlCluster.Machine leader = led();
        assertEquals(200, replaced(leader, 0, 3));
        leader.freeze();
        cluster.run(2_000);
        ControlCluster.Machine next = cluster.awaitLeader();
        assertNotEquals(leader, next);
        assertEquals(200, replaced(next, 3, 5));
        List<Integer> statuses = new ArrayList<>();
        if (request.path() != null) {
            leader.call(request, 3, OperatorModel.body(4, 1), reply -> statuses.add(reply.status()));
        }
        cluster.run(FROZEN_MS);
        boolean none = request.contact() == QuorumContact.NONE;
        // The first that it does is what waited longest: messages of before the election, by which it leads.
        assertEquals(none, leader.gate.allows(cluster.now(), request));
        leader.thaw();
        cluster.run(950);
        for (int status : statuses) {
            assertTrue(none ? status == 200 : status == 503 || status == 307, request + ": " + status);
        }
        assertEquals(request.path() == null ? 0 : 1, statuses.size());
    }

    /** Old answers make a leader's peers look alive, but not a question that it sent lately. */
    @Test
    void answersThatWaitedInABufferAreNoRecentContact() {
        ControlCluster.Machine leader = led();
        // A read asks a question at once; its answers come while the leader stands still.
        leader.call(ControlRequest.CONFIG_READ, 0, "", reply -> {});
        cluster.run(0.1);
        leader.freeze();
        cluster.run(5);
        cluster.others(leader).forEach(ControlCluster.Machine::kill);
        cluster.run(FROZEN_MS);
        leader.thaw();
        assertTrue(leader.raft.sinceMajorityMs(cluster.now()) >= FROZEN_MS);
        assertFalse(leader.gate.allows(cluster.now(), ControlRequest.WATCH));
        assertFalse(leader.gate.allows(cluster.now(), ControlRequest.RETRY_SHARES));
    }

    @Test
    void aFollowerThatStoodStillOrIsCutOffNamesNoLeaderThatItHasLongNotHeardOf() {
        ControlCluster.Machine leader = led();
        ControlCluster.Machine follower = cluster.others(leader).get(0);
        ApiResponse reply = called(follower, ControlRequest.CONFIG_READ, 0, "");
        assertEquals(307, reply.status());
        assertEquals("http://" + leader.member.control() + "/sablehinge/Config.Read", reply.location());
        follower.freeze();
        ApiResponse[] late = new ApiResponse[1];
        cluster.cutOff(follower, true, true);
        cluster.run(5);
        follower.call(ControlRequest.CONFIG_READ, 0, "", result -> late[0] = result);
        cluster.run(FROZEN_MS);
        assertNull(follower.gate.refusal(cluster.now()).leader());
        follower.thaw();
        cluster.run(100);
        assertEquals(503, late[0].status());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLeaderThatIsCutOffOneWayRefusesNothingAndTheOthersGoOn(boolean outward) {
        ControlCluster.Machine leader = led();
        assertEquals(200, replaced(leader, 0, 3));
        cluster.cutOff(leader, outward, !outward);
        cluster.run(3_000);
        assertTrue(replaced(leader, 3, 4) >= 307);
        assertTrue(replaced(leader, 0, 2) >= 500 || replaced(leader, 0, 2) == 307);
        ControlCluster.Machine next = cluster.awaitLeader();
        assertEquals(200, replaced(next, 3, 5));
        assertEquals(412, replaced(next, 3, 4));
        cluster.heal();
        cluster.run(3_000);
        assertEquals(200, replaced(cluster.awaitLeader(), 3, 5));
        assertEquals(412, replaced(cluster.awaitLeader(), 3, 4));
    }

    /** It holds what came before, but has not applied it: nothing is judged by its state. */
    @Test
    void aLeaderOfANewTermJudgesNothingBeforeItHasAppliedWhatCameBefore() {
        ControlCluster.Machine leader = led();
        assertEquals(200, replaced(leader, 0, 3));
        leader.kill();
        ControlCluster.Machine next = null;
        while (next == null) {
            cluster.run(0.1);
            next = cluster.leader();
        }
        cluster.machines.values().forEach(one -> one.stall(5_000));
        assertEquals(503, replaced(next, 0, 2));
        assertEquals(503, replaced(next, 2, 4));
        assertEquals(503, called(next, ControlRequest.CONFIG_READ, 0, "").status());
        cluster.run(5_000);
        next = cluster.awaitLeader();
        assertEquals(412, replaced(next, 0, 2));
        assertEquals(400, replaced(next, 3, 2));
        assertEquals(
                OperatorModel.body(3, 1),
                new String(called(next, ControlRequest.CONFIG_READ, 0, "").body(), StandardCharsets.UTF_8));
    }

    /** The copy that waits is joined; the log has one entry of it. */
    @Test
    void anOrderThatIsSentAgainWhileItsFirstCopyIsUnderWayHasOneEntryAndOneAnswer() {
        ControlCluster.Machine leader = led();
        cluster.others(leader).forEach(one -> one.stall(400));
        List<Integer> statuses = new ArrayList<>();
        for (int copy = 0; copy < 3; copy++) {
            leader.call(
                    ControlRequest.CONFIG_REPLACE, 0, OperatorModel.body(3, 1), reply -> statuses.add(reply.status()));
            cluster.run(50);
        }
        long before = leader.metrics().commit();
        cluster.run(900);
        assertEquals(List.of(200, 200, 200), statuses);
        assertEquals(before + 1, leader.metrics().commit());
    }
}
