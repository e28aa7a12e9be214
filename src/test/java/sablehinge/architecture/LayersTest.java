package sablehinge.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The layers of docs/design.md: arrows point down only. */
class LayersTest {

    /** What each package may use, beside itself and the Java platform. */
    private static final Map<String, Set<String>> MAY_USE = Map.ofEntries(
            Map.entry(
                    "sablehinge.cli",
                    Set.of(
                            "sablehinge.cli.mesh",
                            "sablehinge.cli.mesh.operator",
                            "sablehinge.common.http",
                            "sablehinge.common.logging",
                            "sablehinge.common.mapping",
                            "sablehinge.common.settings",
                            "sablehinge.controlplane.node",
                            "sablehinge.dataplane.proxy",
                            "sablehinge.dataplane.sidecar",
                            "sablehinge.gateway.config",
                            "sablehinge.gateway.config.operator",
                            "sablehinge.gateway.discovery",
                            "sablehinge.gateway.node",
                            "sablehinge.gateway.recorder",
                            "sablehinge.gateway.settings",
                            "sablehinge.gateway.wire",
                            "sablehinge.policy",
                            "sablehinge.tools.audit",
                            "sablehinge.tools.audit.judge",
                            "sablehinge.tools.replay",
                            "sablehinge.tools.replay.run",
                            "sablehinge.tools.replay.schedule",
                            "sablehinge.tools.standin",
                            "sablehinge.tools.standin.scenario",
                            "com.fasterxml.jackson",
                            "com.github.difflib",
                            "io.netty",
                            "org.slf4j",
                            "picocli")),
            Map.entry(
                    "sablehinge.cli.mesh",
                    Set.of(
                            "sablehinge.cli.mesh.operator",
                            "sablehinge.mesh.api",
                            "sablehinge.tools.standin.mesh",
                            "com.github.rvesse")),
            Map.entry(
                    "sablehinge.cli.mesh.operator",
                    Set.of(
                            "sablehinge.common.eventloop",
                            "sablehinge.common.http",
                            "sablehinge.controlplane.api",
                            "sablehinge.mesh.api",
                            "sablehinge.mesh.routing",
                            "com.fasterxml.jackson",
                            "com.github.rvesse",
                            "io.netty")),
            Map.entry("sablehinge.common.eventloop", Set.of("io.netty")),
            Map.entry("sablehinge.common.http", Set.of("io.netty")),
            Map.entry("sablehinge.common.logging", Set.of("ch.qos.logback", "net.logstash.logback", "org.slf4j")),
            Map.entry("sablehinge.common.mapping", Set.of()),
            Map.entry("sablehinge.common.rpc", Set.of("io.netty")),
            Map.entry("sablehinge.common.settings", Set.of("com.fasterxml.jackson", "com.networknt")),
            Map.entry("sablehinge.controlplane.api", Set.of()),
            Map.entry(
                    "sablehinge.controlplane.node",
                    Set.of(
                            "sablehinge.common.eventloop",
                            "sablehinge.common.logging",
                            "sablehinge.common.rpc",
                            "sablehinge.common.settings",
                            "sablehinge.controlplane.api",
                            "sablehinge.controlplane.raft",
                            "sablehinge.controlplane.state",
                            "sablehinge.mesh.api",
                            "sablehinge.mesh.failuredetection",
                            "sablehinge.mesh.quota",
                            "sablehinge.mesh.retrybudget",
                            "sablehinge.mesh.routing",
                            "sablehinge.mesh.watch",
                            "io.netty",
                            "org.h2",
                            "org.slf4j")),
            Map.entry("sablehinge.controlplane.raft", Set.of()),
            Map.entry("sablehinge.controlplane.state", Set.of("sablehinge.mesh.watch")),
            Map.entry("sablehinge.dataplane.admission", Set.of("sablehinge.policy")),
            Map.entry("sablehinge.dataplane.budget", Set.of("javax.crypto")),
            Map.entry(
                    "sablehinge.dataplane.http1",
                    Set.of(
                            "sablehinge.common.eventloop",
                            "sablehinge.common.http",
                            "sablehinge.common.logging",
                            "sablehinge.dataplane.budget",
                            "sablehinge.dataplane.proxy",
                            "sablehinge.policy",
                            "io.netty",
                            "jdk.net",
                            "org.slf4j")),
            Map.entry(
                    "sablehinge.dataplane.proxy",
                    Set.of(
                            "sablehinge.common.eventloop",
                            "sablehinge.common.logging",
                            "sablehinge.dataplane.budget",
                            "sablehinge.policy",
                            "org.slf4j")),
            Map.entry(
                    "sablehinge.dataplane.sidecar",
                    Set.of(
                            "sablehinge.common.eventloop",
                            "sablehinge.common.logging",
                            "sablehinge.common.rpc",
                            "sablehinge.common.settings",
                            "sablehinge.dataplane.admission",
                            "sablehinge.dataplane.budget",
                            "sablehinge.dataplane.http1",
                            "sablehinge.dataplane.proxy",
                            "sablehinge.mesh.api",
                            "sablehinge.mesh.failuredetection",
                            "sablehinge.mesh.quota",
                            "sablehinge.mesh.retrybudget",
                            "sablehinge.mesh.routing",
                            "sablehinge.mesh.watch",
                            "sablehinge.policy",
                            "com.fasterxml.jackson",
                            "io.netty",
                            "org.slf4j")),
            Map.entry("sablehinge.gateway.admin", Set.of("com.fasterxml.jackson", "io.netty")),
            Map.entry(
                    "sablehinge.gateway.config",
                    Set.of(
                            "sablehinge.common.settings",
                            "sablehinge.dataplane.proxy",
                            "sablehinge.gateway.discovery",
                            "sablehinge.gateway.settings",
                            "sablehinge.policy",
                            "com.fasterxml.jackson")),
            Map.entry(
                    "sablehinge.gateway.config.operator",
                    Set.of(
                            "sablehinge.common.logging",
                            "sablehinge.common.mapping",
                            "sablehinge.dataplane.budget",
                            "sablehinge.dataplane.proxy",
                            "sablehinge.gateway.discovery",
                            "sablehinge.gateway.settings",
                            "sablehinge.policy",
                            "org.slf4j",
                            "org.tomlj")),
            Map.entry("sablehinge.gateway.config.versions", Set.of("com.fasterxml.jackson")),
            Map.entry(
                    "sablehinge.gateway.discovery",
                    Set.of(
                            "sablehinge.common.http",
                            "sablehinge.common.logging",
                            "sablehinge.dataplane.proxy",
                            "sablehinge.gateway.settings",
                            "sablehinge.policy",
                            "com.fasterxml.jackson",
                            "io.netty",
                            "org.slf4j")),
            Map.entry(
                    "sablehinge.gateway.node",
                    Set.of(
                            "sablehinge.common.eventloop",
                            "sablehinge.common.logging",
                            "sablehinge.common.settings",
                            "sablehinge.dataplane.budget",
                            "sablehinge.dataplane.http1",
                            "sablehinge.dataplane.proxy",
                            "sablehinge.gateway.admin",
                            "sablehinge.gateway.config",
                            "sablehinge.gateway.config.operator",
                            "sablehinge.gateway.config.versions",
                            "sablehinge.gateway.discovery",
                            "sablehinge.gateway.recorder",
                            "sablehinge.gateway.rollout",
                            "sablehinge.policy",
                            "com.fasterxml.jackson",
                            "io.netty",
                            "org.slf4j")),
            Map.entry("sablehinge.gateway.recorder", Set.of("sablehinge.dataplane.proxy", "com.fasterxml.jackson")),
            Map.entry("sablehinge.gateway.rollout", Set.of()),
            Map.entry("sablehinge.gateway.settings", Set.of("sablehinge.policy", "io.netty")),
            Map.entry("sablehinge.gateway.wire", Set.of("sablehinge.gateway.settings", "sablehinge.policy")),
            Map.entry(
                    "sablehinge.mesh.api",
                    Set.of(
                            "sablehinge.mesh.routing",
                            "com.fasterxml.jackson",
                            "com.networknt",
                            "io.netty",
                            "org.slf4j")),
            Map.entry("sablehinge.mesh.failuredetection", Set.of()),
            Map.entry("sablehinge.mesh.quota", Set.of()),
            Map.entry("sablehinge.mesh.retrybudget", Set.of()),
            Map.entry("sablehinge.mesh.routing", Set.of()),
            Map.entry(
                    "sablehinge.mesh.watch",
                    Set.of("sablehinge.common.rpc", "sablehinge.mesh.failuredetection", "sablehinge.mesh.retrybudget")),
            Map.entry("sablehinge.policy", Set.of()),
            Map.entry("sablehinge.tools.audit", Set.of("sablehinge.tools.audit.judge", "com.fasterxml.jackson")),
            Map.entry("sablehinge.tools.audit.judge", Set.of()),
            Map.entry(
                    "sablehinge.tools.replay",
                    Set.of(
                            "sablehinge.common.mapping",
                            "sablehinge.tools.replay.folding",
                            "sablehinge.tools.replay.statistics",
                            "sablehinge.tools.replay.timeline",
                            "com.fasterxml.jackson",
                            "io.airlift.compress")),
            Map.entry("sablehinge.tools.replay.folding", Set.of()),
            Map.entry(
                    "sablehinge.tools.replay.run",
                    Set.of(
                            "sablehinge.common.eventloop",
                            "sablehinge.common.http",
                            "sablehinge.common.mapping",
                            "sablehinge.tools.audit",
                            "sablehinge.tools.audit.judge",
                            "sablehinge.tools.replay",
                            "sablehinge.tools.replay.schedule",
                            "com.fasterxml.jackson",
                            "io.netty",
                            "org.HdrHistogram")),
            Map.entry("sablehinge.tools.replay.schedule", Set.of()),
            Map.entry("sablehinge.tools.replay.statistics", Set.of()),
            Map.entry("sablehinge.tools.replay.timeline", Set.of()),
            Map.entry(
                    "sablehinge.tools.standin",
                    Set.of(
                            "sablehinge.common.eventloop",
                            "sablehinge.policy",
                            "sablehinge.tools.audit",
                            "sablehinge.tools.audit.judge",
                            "sablehinge.tools.standin.model",
                            "sablehinge.tools.standin.scenario",
                            "com.fasterxml.jackson",
                            "io.netty")),
            Map.entry("sablehinge.tools.standin.mesh", Set.of("com.fasterxml.jackson")),
            Map.entry("sablehinge.tools.standin.model", Set.of()),
            Map.entry(
                    "sablehinge.tools.standin.scenario",
                    Set.of(
                            "sablehinge.gateway.config.operator",
                            "sablehinge.policy",
                            "sablehinge.tools.standin.model",
                            "org.tomlj")));

    /** Packages that decide: events in, actions out. */
    private static final String[] DECIDERS = Stream.of(
                    "sablehinge.policy",
                    "sablehinge.gateway.rollout",
                    "sablehinge.tools.replay.folding",
                    "sablehinge.dataplane.budget",
                    "sablehinge.tools.replay.timeline",
                    "sablehinge.common.mapping",
                    "sablehinge.tools.replay.statistics",
                    "sablehinge.tools.audit.judge",
                    "sablehinge.tools.replay.schedule",
                    "sablehinge.tools.standin.model",
                    "sablehinge.mesh.routing",
                    "sablehinge.controlplane.raft",
                    "sablehinge.dataplane.admission",
                    "sablehinge.mesh.quota",
                    "sablehinge.mesh.retrybudget",
                    "sablehinge.mesh.failuredetection")
            .map(name -> name + "..")
            .toArray(String[]::new);

    private static final JavaClasses MAIN = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("sablehinge");

    private static String[] allowed(String layer) {
        return Stream.concat(Stream.of("java", layer), MAY_USE.get(layer).stream())
                .map(name -> name.startsWith("sablehinge.") ? name : name + "..")
                .toArray(String[]::new);
    }

    private static ArchRule rule(String layer) {
        return classes()
                .that()
                .resideInAPackage(layer)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(allowed(layer));
    }

    @Test
    void eachPackageUsesOnlyWhatLiesBelowIt() {
        MAY_USE.keySet().forEach(layer -> rule(layer).check(MAIN));
    }

    /** A package without an entry in the table would be checked against nothing. */
    @Test
    void everyPackageHasAnEntry() {
        Set<String> packages = new TreeSet<>();
        MAIN.forEach(one -> packages.add(one.getPackageName()));
        packages.removeAll(MAY_USE.keySet());
        assertEquals(Set.of(), packages, "not in the table");
    }

    /** No two packages use each other, directly or through others. */
    @Test
    void packagesAreFreeOfCycles() {
        slices().matching("sablehinge.(**)").should().beFreeOfCycles().check(MAIN);
    }

    @Test
    void decidersHaveNoClockThreadOrFile() {
        noClasses()
                .that()
                .resideInAnyPackage(DECIDERS)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "java.time..",
                        "java.util.concurrent..",
                        "java.util.logging..",
                        "org.slf4j..")
                .check(MAIN);
        for (String clock : new String[] {"currentTimeMillis", "nanoTime"}) {
            noClasses()
                    .that()
                    .resideInAnyPackage(DECIDERS)
                    .should()
                    .callMethod(System.class, clock)
                    .check(MAIN);
        }
        noClasses()
                .that()
                .resideInAnyPackage(DECIDERS)
                .should()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(MAIN);
    }

    /** The check itself is one that can fail. */
    @Test
    void aBreachIsFound() {
        assertThrows(AssertionError.class, () -> classes()
                .that()
                .resideInAPackage("sablehinge.dataplane.http1..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(allowed("sablehinge.dataplane.proxy"))
                .check(MAIN));
    }
}
