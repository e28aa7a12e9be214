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

/** Settings that change while requests are under way. */
class SettingsVersionsTest {

    private final Settings old = TestSettings.plain().build();
    private final BalancerHarness bench = new BalancerHarness(old, 5);

    private static Settings named(Settings base, String first, Repeat repeat, int attempts) {
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
                                first,
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
    void aRequestKeepsTheEffectAndTheAttemptsUnderWhichItCame() {
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(1, 0);
        bench.adopt(named(old, "first", Repeat.AT_MOST_ONCE, 1));
        bench.finish(bench.lastSend(), Result.ERROR);
        assertEquals(2, bench.sends.size(), "the class it came under may be sent again");
        bench.finish(bench.lastSend(), Result.OK);
        bench.request(2, 0);
        bench.finish(bench.lastSend(), Result.ERROR);
        assertEquals(3, bench.sends.size());
        assertEquals(List.of(2L), bench.failed);
    }

    @Test
    void aRetryGoesOnlyToServersOfItsOwnVersion() {
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(1, 0);
        long first = bench.lastSend().upstream();
        bench.adopt(named(old, "first", Repeat.IDEMPOTENT, 4));
        bench.list(
                Change.FULL,
                TestSettings.server(1),
                TestSettings.server(2),
                TestSettings.server(3),
                TestSettings.server(4));
        bench.finish(bench.lastSend(), Result.ERROR);
        assertEquals(3 - first, bench.lastSend().upstream());
    }

    @Test
    void whatIsGoneInEitherVersionTakesNothingNewFromBoth() {
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(1, 0);
        long first = bench.lastSend().upstream();
        bench.adopt(named(old, "first", Repeat.IDEMPOTENT, 4));
        bench.list(Change.FULL, TestSettings.server(first));
        bench.finish(bench.lastSend(), Result.ERROR);
        assertTrue(bench.sends.stream().allMatch(sent -> sent.upstream() == first));
        bench.list(Change.FULL, TestSettings.server(first).state(State.DRAINING));
        int before = bench.sends.size();
        bench.request(2, 0);
        assertEquals(before, bench.sends.size());
    }

    /** Back to the version before, with a server that the other one had dropped: its record is still there. */
    @Test
    void goingBackForgetsNothing() {
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        // Server 1 fails all it gets, so that it is hardly drawn any more.
        for (long id = 1; id <= 200; id++) {
            bench.request(id, 0);
            while (bench.isOpen(id)) {
                bench.finishAfter(bench.lastSend(), bench.lastSend().upstream() == 1 ? Result.ERROR : Result.OK, 10);
            }
        }
        bench.adopt(named(old, "first", Repeat.IDEMPOTENT, 4));
        bench.list(Change.FULL, TestSettings.server(2));
        bench.adopt(old);
        bench.list(Change.FULL, TestSettings.server(1), TestSettings.server(2));
        int sent = bench.sends.size();
        for (long id = 201; id <= 300; id++) {
            bench.request(id, 0);
        }
        long toUnhealthy = bench.sends.subList(sent, bench.sends.size()).stream()
                .filter(one -> one.upstream() == 1)
                .count();
        assertTrue(toUnhealthy < 20, toUnhealthy + " of 100 to a server known to fail");
    }

    @Test
    void aClassThatIsGoneIsServedToItsEndAndItsPlaceIsUsedAgain() {
        bench.list(Change.CACHED, TestSettings.server(1), TestSettings.server(2));
        bench.request(1, 0);
        Settings before = old;
        for (int i = 0; i < 100; i++) {
            Settings next = named(old, "class-" + i, Repeat.IDEMPOTENT, 4);
            bench.adopt(next);
            bench.forget(before);
            before = next;
            bench.request(100 + i, 0);
            bench.finish(bench.lastSend(), Result.OK);
        }
        assertFalse(bench.isOpen(199));
        bench.finish(bench.sends.get(0), Result.ERROR);
        bench.finish(bench.lastSend(), Result.OK);
        assertFalse(bench.isOpen(1));
    }

    /** The budget of a server that is warming up is one, whatever versions come and go while it warms up. */
    @Test
    void changesEarnAColdServerNothing() {
        assertEquals(warmUpSends(false), warmUpSends(true), 3);
    }

    private static long warmUpSends(boolean changing) {
        Settings base = TestSettings.plain().build();
        BalancerHarness bench = new BalancerHarness(base, 9);
        TestSettings.Server[] servers = {
            TestSettings.server(1),
            TestSettings.server(2),
            TestSettings.server(3),
            TestSettings.server(4).startedAt(bench.now)
        };
        bench.list(Change.CACHED, servers);
        for (long id = 1; id <= 400; id++) {
            if (changing && id % 5 == 0) {
                bench.adopt(named(base, "first", Repeat.IDEMPOTENT, 4));
                bench.list(Change.FULL, servers);
            }
            bench.request(id, 0);
            bench.finishAfter(bench.lastSend(), Result.OK, 10);
            bench.advance(5);
        }
        return bench.sends.stream().filter(sent -> sent.upstream() == 4).count();
    }

    /** Random requests, outcomes, lists, changes and returns: what each request does is held to its version. */
    @Test
    void randomChangesMixNothing() {
        for (long seed = 1; seed <= 200; seed++) {
            random(new SplittableRandom(seed), "seed " + seed);
        }
    }

    private static void random(SplittableRandom random, String what) {
        Settings base = TestSettings.plain().build();
        BalancerHarness bench = new BalancerHarness(base, 3);
        List<Settings> versions = new ArrayList<>(List.of(base));
        Map<Settings, Set<Long>> lists = new java.util.IdentityHashMap<>();
        Map<Long, Settings> cameUnder = new HashMap<>();
        Settings current = base;
        lists.put(base, list(bench, random));
        Set<Long> ready = lists.get(base);
        List<BalancerHarness.Sent> out = new ArrayList<>();
        int seen = 0;
        for (long id = 1; id <= 150; id++) {
            switch (random.nextInt(6)) {
                case 0 -> {
                    if (versions.size() < 4 || random.nextBoolean()) {
                        current = named(
                                base,
                                "class-" + random.nextInt(3),
                                Repeat.values()[random.nextInt(3)],
                                1 + random.nextInt(4));
                        versions.add(current);
                    } else {
                        current = versions.get(random.nextInt(versions.size()));
                    }
                    bench.adopt(current);
                    ready = list(bench, random);
                    lists.put(current, ready);
                }
                case 1, 2 -> {
                    if (!out.isEmpty()) {
                        bench.finish(
                                out.remove(random.nextInt(out.size())),
                                random.nextInt(3) == 0 ? Result.OK : Result.ERROR);
                    }
                }
                default -> {
                    cameUnder.put(id, current);
                    bench.request(id, 0);
                }
            }
            for (; seen < bench.sends.size(); seen++) {
                BalancerHarness.Sent sent = bench.sends.get(seen);
                Settings own = cameUnder.get(sent.request());
                out.add(sent);
                assertTrue(lists.get(own).contains(sent.upstream()), what + ": a server of another version");
                assertTrue(ready.contains(sent.upstream()), what + ": a server that is gone");
                assertTrue(sent.attempt() < own.limits().maxAttempts(), what + ": attempts of another version");
                assertTrue(
                        sent.attempt() == 0 || own.classes().get(0).repeat() != Repeat.AT_MOST_ONCE,
                        what + ": sent twice");
            }
            bench.advance(random.nextInt(30));
        }
    }

    private static Set<Long> list(BalancerHarness bench, SplittableRandom random) {
        Set<Long> ids = new HashSet<>();
        for (long id = 1; id <= 6; id++) {
            if (random.nextInt(3) > 0) {
                ids.add(id);
            }
        }
        bench.list(Change.FULL, ids.stream().map(TestSettings::server).toArray(TestSettings.Server[]::new));
        return ids;
    }
}
