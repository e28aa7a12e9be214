package sablehinge.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.event.Level;
import sablehinge.common.logging.Logging;
import sablehinge.dataplane.proxy.Answer;
import sablehinge.dataplane.proxy.Observer;
import sablehinge.dataplane.proxy.Roster;
import sablehinge.dataplane.proxy.Roster.Member;
import sablehinge.dataplane.proxy.Version;
import sablehinge.gateway.config.PlatformConfig;
import sablehinge.gateway.discovery.RosterParser;
import sablehinge.gateway.node.Node;
import sablehinge.policy.LatencyWeightedBalancer;
import sablehinge.policy.LoadBalancer;
import sablehinge.policy.LoadBalancer.Goal;
import sablehinge.policy.LoadBalancer.Limits;
import sablehinge.policy.LoadBalancer.Prices;
import sablehinge.policy.LoadBalancer.Reports;
import sablehinge.policy.LoadBalancer.Rules;
import sablehinge.policy.LoadBalancer.ServiceClass;
import sablehinge.policy.LoadBalancer.Settings;
import sablehinge.policy.LoadBalancer.State;
import sablehinge.policy.LoadBalancer.Upstream;
import sablehinge.policy.LoadBalancer.WeightKind;
import sablehinge.tools.audit.EvidenceStamps;
import sablehinge.tools.audit.judge.Evidence;
import sablehinge.tools.audit.judge.Evidence.BalancerNote;
import sablehinge.tools.standin.Balancers;
import sablehinge.tools.standin.scenario.Scenario;
import sablehinge.tools.standin.scenario.Scenario.ClassPart;
import sablehinge.tools.standin.scenario.Scenario.TierPart;

/**
 * Runs balancers of this build inside this process, each with its own event loop and the configuration that the
 * platform would provide.
 */
public final class LocalBalancers implements Balancers {

    private static final Map<Answer.Kind, String> OUTCOME_PREFIXES = new EnumMap<>(Answer.Kind.class);

    static {
        for (Answer.Kind kind : Answer.Kind.values()) {
            OUTCOME_PREFIXES.put(kind, kind.name().toLowerCase(Locale.ROOT) + " after ");
        }
    }

    private static final int MAX_SOCKETS = 4_096;
    private static final double WARM_UP_MARGIN_FACTOR = 1.5;

    private final Function<LoadBalancer.Actions, LoadBalancer> module;
    private final Consumer<Evidence> record;

    /** Balancers with the default module; {@code record} receives the outcome of each answer. */
    public LocalBalancers(Consumer<Evidence> record) {
        this(record, LatencyWeightedBalancer::new);
    }

    /** Balancers with the given module. */
    public LocalBalancers(Consumer<Evidence> record, Function<LoadBalancer.Actions, LoadBalancer> module) {
        this.record = record;
        this.module = module;
        // The fleet logs its faults; one log line per started balancer would bury them.
        Logging.setMinimumLevel(Level.WARN);
    }

    @Override
    public Running start(Spec spec) throws Exception {
        Node node = Node.start(config(spec), module);
        node.observe(new AnswerNotes(spec.name()));
        return new Running() {
            @Override
            public InetSocketAddress address() {
                return node.address();
            }

            @Override
            public void kill() {
                node.kill();
            }
        };
    }

    /** Records the outcome of each answer. */
    private final class AnswerNotes implements Observer {

        private final String name;

        AnswerNotes(String name) {
            this.name = name;
        }

        @Override
        public void answered(
                String request, Version version, int serviceClass, Answer.Kind kind, int attempts, double elapsed) {
            // Runs on the balancer's event loop: String.format would take longer than the decision.
            record.accept(new BalancerNote(
                    EvidenceStamps.now(),
                    name,
                    request,
                    OUTCOME_PREFIXES.get(kind) + attempts + " attempts and " + Math.round(elapsed * 10) / 10.0
                            + " ms"));
        }
    }

    private static PlatformConfig config(Spec spec) {
        Scenario scenario = spec.scenario();
        List<String> kinds = scenario.tiers().stream().map(TierPart::name).toList();
        List<String> classes = scenario.classes().stream().map(ClassPart::name).toList();
        List<Member> members = new ArrayList<>();
        for (Listed server : spec.known()) {
            members.add(new Member(
                    new Upstream(
                            RosterParser.number(server.id()),
                            scenario.zones().indexOf(server.zone()),
                            kinds.indexOf(server.kind()),
                            server.cell(),
                            server.state().equals("up") ? State.READY : State.DRAINING,
                            1,
                            server.startedMillis()),
                    server.address()));
        }
        // The initial list may be older than the directory's: the first watch requests the complete list.
        return new PlatformConfig(
                spec.name(),
                spec.listen(),
                spec.discovery(),
                spec.seed(),
                MAX_SOCKETS,
                settings(spec, kinds.size()),
                scenario.zones(),
                kinds,
                classes,
                List.of(),
                new Roster(0, true, members),
                null,
                null,
                Set.of());
    }

    private static Settings settings(Spec spec, int kinds) {
        Scenario scenario = spec.scenario();
        List<ServiceClass> types = new ArrayList<>();
        for (ClassPart part : scenario.classes()) {
            types.add(new ServiceClass(
                    part.name(),
                    part.aim(),
                    0,
                    part.deadline(),
                    part.value(),
                    part.lateValue(),
                    part.effect(),
                    part.group(),
                    part.window(),
                    false,
                    false,
                    null,
                    null,
                    0));
        }
        TierPart tier = scenario.tiers().get(spec.tier());
        Limits limits = new Limits(4, 20_000, true, true, true, false, true, 2_000, 300, 30_000, 1, 0, 0);
        Rules rules = new Rules(
                20,
                scenario.rules().drainGrace(),
                2_000,
                tier.warmUpFrom(),
                tier.warmUpFor() * WARM_UP_MARGIN_FACTOR,
                scenario.rules().fallMultiple(),
                scenario.rules().fallAfter(),
                0);
        return new Settings(
                spec.position(),
                spec.siblings(),
                spec.tier(),
                scenario.tiers().size(),
                scenario.zones().indexOf(spec.zone()),
                scenario.zones().size(),
                kinds,
                true,
                true,
                false,
                false,
                false,
                0.1,
                WeightKind.NONE,
                Reports.PROBE,
                List.of("queue", "eps", "latency_ms"),
                types,
                List.of(),
                limits,
                rules,
                new Goal(0.55, 0.15, 0.3, 0, 0, 0, 0, 0),
                new Prices(0.22, 0.01, 0.2, 0.03, 0, 0, 0, 0));
    }
}
