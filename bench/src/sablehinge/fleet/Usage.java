package sablehinge.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What a process has used since it began, as Linux tells under {@code /proc}.
 *
 * @param cpuMs processor time, in ms; its grain is 10 ms
 * @param residentBytes memory that is resident now
 * @param peakBytes memory that was resident at the most
 * @param readBytes bytes that it read from files and TCP connections; datagrams are not among them
 * @param writtenBytes likewise, written
 * @param reads calls that read
 * @param writes calls that write
 * @param diskBytes bytes that it caused to be written to a disk
 */
record Usage(
        double cpuMs,
        long residentBytes,
        long peakBytes,
        long readBytes,
        long writtenBytes,
        long reads,
        long writes,
        long diskBytes) {

    private static final int USER_TIME = 11;
    private static final int SYSTEM_TIME = 12;
    /** Clock ticks a second that Linux reports to user space, on all of its common platforms. */
    private static final double TICK_MS = 10;

    private static final int KB = 1_024;
    private static final double NANOS_PER_MS = 1e6;

    /** Of a process that runs. */
    static Usage of(long pid) {
        Path folder = Path.of("/proc", Long.toString(pid));
        try {
            return parse(
                    Files.readString(folder.resolve("stat")),
                    Files.readAllLines(folder.resolve("status")),
                    Files.readAllLines(folder.resolve("io")));
        } catch (IOException e) {
            throw new UncheckedIOException("process " + pid + " can't be looked at", e);
        }
    }

    /** Of the texts of {@code stat}, {@code status} and {@code io}. */
    static Usage parse(String stat, List<String> status, List<String> io) {
        // The name of the program stands in parentheses and may hold spaces.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        double ticks = Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]);
        Map<String, Long> memory = figures(status);
        Map<String, Long> transfers = figures(io);
        return new Usage(
                ticks * TICK_MS,
                memory.getOrDefault("VmRSS", 0L) * KB,
                memory.getOrDefault("VmHWM", 0L) * KB,
                transfers.get("rchar"),
                transfers.get("wchar"),
                transfers.get("syscr"),
                transfers.get("syscw"),
                transfers.get("write_bytes"));
    }

    /** Processor time of a process's threads that still run, in ms, by their names as one word each. */
    static Map<String, Double> threads(long pid) {
        Map<String, Double> threads = new HashMap<>();
        try (Stream<Path> tasks = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
            for (Path task : tasks.toList()) {
                String name = Files.readString(task.resolve("comm")).strip().replaceAll("\\W+|\\d+", "_");
                // First of three figures: ns on a processor.
                String[] times = Files.readString(task.resolve("schedstat")).split(" ");
                threads.merge(name, Long.parseLong(times[0]) / NANOS_PER_MS, Double::sum);
            }
        } catch (IOException e) {
            // A thread has ended meanwhile; what was read of the others stands.
        }
        return threads;
    }

    private static Map<String, Long> figures(List<String> lines) {
        Map<String, Long> figures = new HashMap<>();
        for (String line : lines) {
            String[] words = line.split("[:\\s]+");
            if (words.length > 1 && words[1].matches("\\d{1,18}")) {
                figures.put(words[0], Long.parseLong(words[1]));
            }
        }
        return figures;
    }

    /** What was used since an earlier look; memory is that of now. */
    Usage since(Usage earlier) {
        return new Usage(
                cpuMs - earlier.cpuMs,
                residentBytes,
                peakBytes,
                readBytes - earlier.readBytes,
                writtenBytes - earlier.writtenBytes,
                reads - earlier.reads,
                writes - earlier.writes,
                diskBytes - earlier.diskBytes);
    }
}
