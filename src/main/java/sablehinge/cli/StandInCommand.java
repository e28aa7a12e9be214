package sablehinge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sablehinge.tools.audit.AuditRulesFile;
import sablehinge.tools.audit.Recorder;
import sablehinge.tools.audit.judge.AuditRules;
import sablehinge.tools.standin.Fleet;
import sablehinge.tools.standin.scenario.ScenarioFile;

/** Runs stand-in servers with balancers on loopback, and the faults of a scenario. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Versions.class,
        description = "Plays tiers of servers on loopback, with balancers of this build before each "
                + "tier, and the "
                + "faults of a scenario. Prints the addresses of the entries, and what befalls the servers.")
final class StandInCommand extends Commands.Verb {

    @Option(names = "--scenario", required = true, paramLabel = "FILE", description = "The scenario, in TOML.")
    private Path scenario;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "A folder, made if there is none, for terms.json and "
                    + "what servers, lists and balancers saw; `audit` reads it.")
    private Path out;

    @Option(names = "--for", paramLabel = "SECONDS", description = "End after so long. Default: at Ctrl-C.")
    private double seconds;

    @Option(names = "--threads", paramLabel = "N", description = "Of the servers. Default: 2.")
    private int threads = 2;

    @Override
    public Integer call() throws Exception {
        ScenarioFile.Checked checked = ScenarioFile.read(scenario);
        if (checked.scenario() == null) {
            printProblems(scenario, checked.problems());
            return Commands.BAD_INPUT;
        }
        if (threads < 1 || threads > 64) {
            throw misuse("--threads: " + threads + " is out of range, expected 1 to 64");
        }
        if (out != null) {
            Files.createDirectories(out);
        }
        Recorder recorder = out == null ? null : new Recorder(out.resolve("servers.jsonl.gz"));
        Fleet fleet = new Fleet(
                checked.scenario(),
                new LocalBalancers(recorder == null ? evidence -> {} : recorder::note),
                threads,
                recorder == null ? evidence -> {} : recorder::note,
                this::printLine);
        CountDownLatch stopped = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stopped.countDown();
                            try {
                                written.await(10, TimeUnit.SECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "interrupted"));
        try {
            fleet.start();
            fleet.entries().forEach(entry -> printLine("entry " + entry.getHostString() + ":" + entry.getPort()));
            if (seconds > 0) {
                stopped.await((long) (seconds * 1_000), TimeUnit.MILLISECONDS);
            } else {
                stopped.await();
            }
            return 0;
        } finally {
            fleet.close();
            finish(recorder, fleet.terms());
            written.countDown();
        }
    }

    private void finish(Recorder recorder, AuditRules terms) throws IOException {
        if (recorder != null) {
            recorder.close();
            AuditRulesFile.write(out, terms);
            if (recorder.dropped() > 0) {
                printLine(recorder.dropped() + " observations are not in the record");
            }
        }
    }

    private void printLine(String line) {
        out().println(line);
        out().flush();
    }
}
