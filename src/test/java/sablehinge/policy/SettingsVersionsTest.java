package sablehinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import sablehinge.policy.LoadBalancer.Change;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Result;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;

/** Changes of the settings while requests are active. */
class SettingsVersionsTest {

    private final Settings old = TestSettings.builder().build();
    private final BalancerHarness harness = new BalancerHarness(old, 5);

    private static Settings withFirstClass(Settings base, String name, Repeat repeat, int attempts) {
        LoadBalancer.ServiceClass c = base.classes().get(0);
        LoadBalancer.Limits l = base.limits();
        return new Settings(
                base.position(),
                base.siblings(),
                base.tier(),
                base.tiers(),
                base.zone(),
                base.zones(),
                base.kinds(),
                base.subscribe(),
                base.passesDeadline(),
                base.warmKeys(),
                base.retriesMarked(),
                base.valueByWork(),
                base.overShareValue(),
                base.weightKind(),
                base.reports(),
                base.reportFields(),
                List.of(
                        new LoadBalancer.ServiceClass(
                                name,
                                c.aim(),
                                0,
                                c.deadline(),
                                c.value(),
                                c.lateValue(),
                                repeat,
                                c.group(),
                                c.memory(),
                                false,
                                false,
                                null,
                                null,
                                0),
                        base.classes().get(1)),
                base.tenants(),
                new LoadBalancer.Limits(
                        attempts,
                        l.maxOpen(),
                        l.cancel(),
                        l.parallel(),
                        l.probes(),
                        l.peers(),
                        l.retryAfter(),
                        l.maxRetryAfter(),
                        l.connectTimeout(),
                        l.connectionIdle(),
                        1,
                        0,
                        0),
                base.rules(),
                base.goal(),
                base.prices());
    }

    @Test
    void requestKeepsRepeatRuleAndAttemptsOfItsVersion() {
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(1, 0);
        harness.adopt(withFirstClass(old, "first", Repeat.AT_MOST_ONCE, 1));
        harness.finish(harness.lastSend(), Result.ERROR);
        assertEquals(2, harness.sends.size(), "the request keeps the repeat rule of its version");
        harness.finish(harness.lastSend(), Result.OK);
        harness.request(2, 0);
        harness.finish(harness.lastSend(), Result.ERROR);
        assertEquals(3, harness.sends.size());
        assertEquals(List.of(2L), harness.failed);
    }

    @Test
    void retryGoesOnlyToServersOfItsVersion() {
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(1, 0);
        long first = harness.lastSend().upstream();
        harness.adopt(withFirstClass(old, "first", Repeat.IDEMPOTENT, 4));
        harness.updateUpstreams(
                Change.FULL,
                TestSettings.server(1),
                TestSettings.server(2),
                TestSettings.server(3),
                TestSettings.server(4));
        harness.finish(harness.lastSend(), Result.ERROR);
        assertEquals(3 - first, harness.lastSend().upstream());
    }

    @Test
    void serverRemovedInEitherVersionGetsNoRequests() {
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(1, 0);
        long first = harness.lastSend().upstream();
        harness.adopt(withFirstClass(old, "first", Repeat.IDEMPOTENT, 4));
        harness.updateUpstreams(Change.FULL, TestSettings.server(first));
        harness.finish(harness.lastSend(), Result.ERROR);
        assertTrue(harness.sends.stream().allMatch(sent -> sent.upstream() == first));
        harness.updateUpstreams(Change.FULL, TestSettings.server(first).state(State.DRAINING));
        int before = harness.sends.size();
        harness.request(2, 0);
        assertEquals(before, harness.sends.size());
    }

    /** After a return to the previous version, a server that the other version did not list keeps its statistics. */
    @Test
    void returnToPreviousVersionKeepsStatistics() {
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        // Server 1 fails all its calls, so that it is rarely drawn.
        for (long id = 1; id <= 200; id++) {
            harness.request(id, 0);
            while (harness.isPending(id)) {
                harness.finishAfter(
                        harness.lastSend(), harness.lastSend().upstream() == 1 ? Result.ERROR : Result.OK, 10);
            }
        }
        harness.adopt(withFirstClass(old, "first", Repeat.IDEMPOTENT, 4));
        harness.updateUpstreams(Change.FULL, TestSettings.server(2));
        harness.adopt(old);
        harness.updateUpstreams(Change.FULL, TestSettings.server(1), TestSettings.server(2));
        int sent = harness.sends.size();
        for (long id = 201; id <= 300; id++) {
            harness.request(id, 0);
        }
        long toUnhealthy = harness.sends.subList(sent, harness.sends.size()).stream()
                .filter(send -> send.upstream() == 1)
                .count();
        assertTrue(toUnhealthy < 20, toUnhealthy + " of 100 to a server known to fail");
    }

    @Test
    void requestsOfRemovedClassFinishAndItsSlotIsReused() {
        harness.updateUpstreams(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        harness.request(1, 0);
        Settings before = old;
        for (int i = 0; i < 100; i++) {
            Settings next = withFirstClass(old, "class-" + i, Repeat.IDEMPOTENT, 4);
            harness.adopt(next);
            harness.forget(before);
            before = next;
            harness.request(100 + i, 0);
            harness.finish(harness.lastSend(), Result.OK);
        }
        assertFalse(harness.isPending(199));
        harness.finish(harness.sends.get(0), Result.ERROR);
        harness.finish(harness.lastSend(), Result.OK);
        assertFalse(harness.isPending(1));
    }

    /** A warming server has one send budget that does not depend on changes of the version. */
    @Test
    void versionChangesAddNothingToWarmUpBudget() {
        assertEquals(warmUpSends(false), warmUpSends(true), 3);
    }

    private static long warmUpSends(boolean withChanges) {
        Settings base = TestSettings.builder().build();
        BalancerHarness harness = new BalancerHarness(base, 9);
        TestSettings.Server[] servers = {
            TestSettings.server(1),
            TestSettings.server(2),
            TestSettings.server(3),
            TestSettings.server(4).startedAt(harness.now)
        };
        harness.updateUpstreams(Change.CACHED, servers);
        for (long id = 1; id <= 400; id++) {
            if (withChanges && id % 5 == 0) {
                harness.adopt(withFirstClass(base, "first", Repeat.IDEMPOTENT, 4));
                harness.updateUpstreams(Change.FULL, servers);
            }
            harness.request(id, 0);
            harness.finishAfter(harness.lastSend(), Result.OK, 10);
            harness.advance(5);
        }
        return harness.sends.stream().filter(sent -> sent.upstream() == 4).count();
    }

    /**
     * Random requests, outcomes, lists and changes of the version: each request must follow the rules of its version.
     */
    @Test
    void randomChangesKeepVersionsApart() {
        for (long seed = 1; seed <= 200; seed++) {
            checkRandomChanges(new SplittableRandom(seed), "seed " + seed);
        }
    }

    private static void checkRandomChanges(SplittableRandom random, String context) {
        Settings base = TestSettings.builder().build();
        BalancerHarness harness = new BalancerHarness(base, 3);
        List<Settings> versions = new ArrayList<>(List.of(base));
        Map<Settings, Set<Long>> listedIds = new java.util.IdentityHashMap<>();
        Map<Long, Settings> versionOf = new HashMap<>();
        Settings current = base;
        listedIds.put(base, updateRandomUpstreams(harness, random));
        Set<Long> ready = listedIds.get(base);
        List<BalancerHarness.Sent> inFlight = new ArrayList<>();
        int checkedSends = 0;
        for (long id = 1; id <= 150; id++) {
            switch (random.nextInt(6)) {
                case 0 -> {
                    if (versions.size() < 4 || random.nextBoolean()) {
                        current = withFirstClass(
                                base,
                                "class-" + random.nextInt(3),
                                Repeat.values()[random.nextInt(3)],
                                1 + random.nextInt(4));
                        versions.add(current);
                    } else {
                        current = versions.get(random.nextInt(versions.size()));
                    }
                    harness.adopt(current);
                    ready = updateRandomUpstreams(harness, random);
                    listedIds.put(current, ready);
                }
                case 1, 2 -> {
                    if (!inFlight.isEmpty()) {
                        harness.finish(
                                inFlight.remove(random.nextInt(inFlight.size())),
                                random.nextInt(3) == 0 ? Result.OK : Result.ERROR);
                    }
                }
                default -> {
                    versionOf.put(id, current);
                    harness.request(id, 0);
                }
            }
            for (; checkedSends < harness.sends.size(); checkedSends++) {
                BalancerHarness.Sent sent = harness.sends.get(checkedSends);
                Settings version = versionOf.get(sent.request());
                inFlight.add(sent);
                assertTrue(listedIds.get(version).contains(sent.upstream()), context + ": server of another version");
                assertTrue(ready.contains(sent.upstream()), context + ": removed server");
                assertTrue(
                        sent.attempt() < version.limits().maxAttempts(),
                        context + ": more attempts than its version allows");
                assertTrue(
                        sent.attempt() == 0 || version.classes().get(0).repeat() != Repeat.AT_MOST_ONCE,
                        context + ": at-most-once request sent twice");
            }
            harness.advance(random.nextInt(30));
        }
    }

    private static Set<Long> updateRandomUpstreams(BalancerHarness harness, SplittableRandom random) {
        Set<Long> ids = new HashSet<>();
        for (long id = 1; id <= 6; id++) {
            if (random.nextInt(3) > 0) {
                ids.add(id);
            }
        }
        harness.updateUpstreams(
                Change.FULL, ids.stream().map(TestSettings::server).toArray(TestSettings.Server[]::new));
        return ids;
    }
}
