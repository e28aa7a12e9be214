package sablehinge.gateway.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import sablehinge.policy.LoadBalancer.Goal;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;
import sablehinge.policy.LoadBalancer.WeightKind;

public class SettingsParserTest {

    /** Settings with two request classes and every key that has no default. */
    public static final String COMPLETE = String.join(
            "\n",
            "position=4",
            "siblings=9",
            "tier=1",
            "stages=edge,core",
            "zone=0",
            "zones=north,south",
            "machineTypes=big,small",
            "registryMode=automatic",
            "worthBy=work",
            "weightKind=rough",
            "stats.how=silent",
            "stats.fields=",
            "services.count=2",
            "services.0.name=read",
            "services.0.aim=500.0",
            "services.0.deadline=2000.0",
            "services.0.worth=2.0",
            "services.0.lateValue=0.25",
            "services.0.idempotency=idempotent",
            "services.0.streamed=false",
            "services.1.name=order",
            "services.1.aim=900.0",
            "services.1.deadline=4000.0",
            "services.1.worth=7.0",
            "services.1.lateValue=0.0",
            "services.1.idempotency=deduplicated",
            "services.1.group=cell",
            "services.1.memorySpan=3000.0",
            "services.1.streamed=true",
            "limits.attemptsCap=4",
            "limits.maxOpen=1000",
            "limits.cancel=true",
            "limits.parallelTries=false",
            "limits.probes=false",
            "limits.peers=false",
            "limits.retryAfter=false",
            "limits.maxRetryAfter=2000.0",
            "limits.connectTimeout=100.0",
            "limits.connIdle=5000.0",
            "limits.streamsPerConn=1",
            "rules.graceToAnswer=20.0",
            "rules.drainGrace=500.0",
            "rules.askEvery=10000.0",
            "rules.startCapacity=0.2",
            "rules.warmUp=9000.0",
            "rules.fallMultiple=3.0",
            "rules.tipAfter=1500.0",
            "goal.whole=0.6",
            "goal.worstWindow=0.2",
            "goal.worstClass=0.2",
            "goal.worstTenant=0.0",
            "prices.crossZone=0.01",
            "prices.probe=0.0",
            "prices.waste=0.02",
            "prices.lateFail=0.03",
            "prices.connection=0.0",
            "prices.handshake=0.0",
            "prices.peer=0.0",
            "prices.registryMode=0.0",
            "");

    private static Settings parse(String text) {
        return SettingsParser.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void assertRejected(String message, String text) {
        MalformedInputException e = assertThrows(MalformedInputException.class, () -> parse(text));
        assertTrue(e.getMessage().contains(message), e.getMessage());
    }

    @Test
    void parsesCompleteSettings() {
        Settings settings = parse(COMPLETE);
        assertEquals(4, settings.position());
        assertEquals(9, settings.siblings());
        assertEquals(1, settings.tier());
        assertEquals(2, settings.zones());
        assertEquals(2, settings.kinds());
        assertEquals(WeightKind.ROUGH, settings.weightKind());
        assertEquals(Repeat.IDEMPOTENT, settings.classes().get(0).repeat());
        assertEquals(Group.CELL, settings.classes().get(1).group());
        assertEquals(3_000, settings.classes().get(1).memory());
        assertEquals(0, settings.tenants().size());
        assertEquals(500, settings.rules().drainGrace());
        assertEquals(0.02, settings.prices().waste());
    }

    @Test
    void ignoresUnknownKeysAndAppliesDefaults() {
        Settings settings = parse(COMPLETE + "rules.brandNew=x\nprices.fleet=0.5\n");
        assertEquals(0, settings.classes().get(0).aimStretch());
        assertEquals(false, settings.passesDeadline());
    }

    @Test
    void parsesOrderingPlacementAndGoals() {
        Settings settings = parse(COMPLETE
                + String.join(
                        "\n",
                        "services.0.byArrival=true",
                        "services.0.runsIn=1",
                        "services.1.boundTo=0,1",
                        "services.1.runsIn=",
                        "rules.orderSettle=50.0",
                        "goal.tail=0.2",
                        "goal.tailMiss=0.03",
                        "goal.logLossPart=0.3",
                        "goal.topNines=2.0",
                        "limits.cpuUsPerRequest=40.0",
                        "limits.cpuUsPerS=800000"));
        assertTrue(settings.classes().get(0).inOrder());
        assertEquals(List.of(1), settings.classes().get(0).zones());
        assertNull(settings.classes().get(0).kinds());
        assertEquals(List.of(0, 1), settings.classes().get(1).kinds());
        assertEquals(List.of(), settings.classes().get(1).zones());
        assertEquals(50, settings.rules().orderSettle());
        assertEquals(new Goal(0.6, 0.2, 0.2, 0, 0.2, 0.03, 0.3, 2), settings.goal());
        assertEquals(40, settings.limits().cpuPerRequest());
        assertEquals(800_000, settings.limits().cpuPerSecond());
    }

    @Test
    void leavesClassUnrestrictedWithoutOrderingAndPlacement() {
        Settings settings = parse(COMPLETE);
        assertFalse(settings.classes().get(0).inOrder());
        assertTrue(settings.classes().get(0).admits(new Upstream(1, 7, 9, 0, State.READY, 1, 0)));
        assertEquals(0, settings.rules().orderSettle());
        assertEquals(new Goal(0.6, 0.2, 0.2, 0, 0, 0, 0, 0), settings.goal());
    }

    @Test
    void rejectsInvalidPlacementWithKey() {
        assertRejected("services.0.runsIn has the bad value", COMPLETE + "services.0.runsIn=0,north\n");
        assertRejected("services.1.boundTo has the bad value", COMPLETE + "services.1.boundTo=-1\n");
        assertRejected("services.0.byArrival has the bad value", COMPLETE + "services.0.byArrival=1\n");
        assertRejected("rules.orderSettle has the bad value", COMPLETE + "rules.orderSettle=\n");
    }

    @Test
    void rejectsMissingSettingWithKey() {
        assertRejected("rules.drainGrace is missing", COMPLETE.replace("rules.drainGrace=500.0\n", ""));
        assertRejected("services.count is missing", COMPLETE.replace("services.count=2\n", ""));
        assertRejected("services.1.memorySpan is missing", COMPLETE.replace("services.1.memorySpan=3000.0\n", ""));
    }

    @Test
    void rejectsInvalidValueWithKey() {
        assertRejected("rules.warmUp has the bad value", COMPLETE.replace("warmUp=9000.0", "warmUp=soon"));
        assertRejected("rules.warmUp has the bad value", COMPLETE.replace("warmUp=9000.0", "warmUp=NaN"));
        assertRejected(
                "services.0.idempotency has the bad value",
                COMPLETE.replace("services.0.idempotency=idempotent", "services.0.idempotency=maybe"));
        assertRejected("services.count has the bad value", COMPLETE.replace("services.count=2", "services.count=-1"));
        assertRejected("settings line 1 is no path=value pair", "nonsense\n" + COMPLETE);
    }

    @Test
    void rejectsInvalidUtf8() {
        assertThrows(MalformedInputException.class, () -> SettingsParser.parse(new byte[] {(byte) 0xc3, (byte) 0x28}));
    }
}
