package sablehinge.policy;

import java.util.List;
import sablehinge.policy.LoadBalancer.Goal;
import sablehinge.policy.LoadBalancer.Group;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Prices;
import sablehinge.policy.LoadBalancer.Repeat;
import sablehinge.policy.LoadBalancer.Reports;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;
import sablehinge.policy.LoadBalancer.WeightKind;

/** Builders of settings and upstreams for tests. */
final class TestSettings {

    static final double AIM_MS = 1_000;
    static final double DEADLINE_MS = 2_000;

    private TestSettings() {}

    static Builder builder() {
        return new Builder();
    }

    static Server server(long id) {
        return new Server(id);
    }

    static final class Server {
        private final long id;
        private int zone;
        private int cell;
        private int kind;
        private State state = State.READY;
        private double startedAt;

        private Server(long id) {
            this.id = id;
        }

        Server zone(int value) {
            zone = value;
            return this;
        }

        Server cell(int value) {
            cell = value;
            return this;
        }

        Server kind(int value) {
            kind = value;
            return this;
        }

        Server state(State value) {
            state = value;
            return this;
        }

        Server startedAt(double value) {
            startedAt = value;
            return this;
        }

        Upstream toUpstream() {
            return new Upstream(id, zone, kind, cell, state, 1, startedAt);
        }
    }

    static final class Builder {
        private Repeat repeat = Repeat.IDEMPOTENT;
        private Group group = Group.ALL;
        private double memory = 5_000;
        private double lateValue = 0.5;
        private boolean parallel;
        private boolean subscribe;
        private boolean streamed;
        private int siblings = 1;
        private int position;
        private int tier;
        private double crossZone;
        private double connection;
        private boolean inOrder;
        private List<Integer> onlyZones;
        private List<Integer> onlyKinds;

        /** Whether both classes are served in order per key; the settle time after an abandoned attempt is 100 ms. */
        Builder inOrder(boolean value) {
            inOrder = value;
            return this;
        }

        /** Restricts the first class to these zones. */
        Builder onlyZones(Integer... values) {
            onlyZones = List.of(values);
            return this;
        }

        /** Restricts the first class to these machine types. */
        Builder onlyKinds(Integer... values) {
            onlyKinds = List.of(values);
            return this;
        }

        Builder repeat(Repeat value) {
            repeat = value;
            return this;
        }

        Builder group(Group value) {
            group = value;
            return this;
        }

        Builder memory(double value) {
            memory = value;
            return this;
        }

        Builder lateValue(double value) {
            lateValue = value;
            return this;
        }

        Builder parallel(boolean value) {
            parallel = value;
            return this;
        }

        Builder subscribe(boolean value) {
            subscribe = value;
            return this;
        }

        Builder streamed(boolean value) {
            streamed = value;
            return this;
        }

        Builder siblings(int value) {
            siblings = value;
            return this;
        }

        Builder position(int value) {
            position = value;
            return this;
        }

        Builder tier(int value) {
            tier = value;
            return this;
        }

        Builder crossZone(double value) {
            crossZone = value;
            return this;
        }

        Builder connection(double value) {
            connection = value;
            return this;
        }

        Settings build() {
            List<ServiceClass> classes = List.of(
                    new ServiceClass(
                            "first",
                            AIM_MS,
                            0,
                            DEADLINE_MS,
                            5,
                            lateValue,
                            repeat,
                            group,
                            memory,
                            streamed,
                            inOrder,
                            onlyZones,
                            onlyKinds,
                            0),
                    new ServiceClass(
                            "second",
                            AIM_MS,
                            0,
                            DEADLINE_MS,
                            1,
                            lateValue,
                            repeat,
                            group,
                            memory,
                            streamed,
                            inOrder,
                            null,
                            null,
                            0));
            return new Settings(
                    position,
                    siblings,
                    tier,
                    3,
                    0,
                    2,
                    2,
                    subscribe,
                    true,
                    false,
                    false,
                    false,
                    0.1,
                    WeightKind.NONE,
                    Reports.NONE,
                    List.of(),
                    classes,
                    List.of(),
                    new Limits(4, 1_000, true, parallel, false, false, true, 2_000, 100, 30_000, 1, 0, 800_000),
                    new Rules(20, 500, 10_000, 0.2, 10_000, 3, 1_500, 100),
                    new Goal(0.6, 0.2, 0.2, 0, 0, 0, 0, 0),
                    new Prices(crossZone, 0, 0.02, 0.03, connection, 0, 0, 0));
        }
    }
}
