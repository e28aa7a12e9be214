package sablehinge.gateway.config.versions;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the stored state after a crash or an I/O error at each disk operation. */
class VersionStoreTest {

    /** Simulates the end of the process within a disk operation. */
    private static final class SimulatedCrash extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /**
     * A disk that guarantees only synced data after a crash. For the rest, a seeded random choice decides whether a
     * name has changed and whether content is complete, torn or missing.
     */
    private static final class FailingDisk implements Disk {
        /** Content by name that survives a crash. */
        Map<String, byte[]> durable = new HashMap<>();
        /** Content by name as the running process reads it. */
        Map<String, byte[]> visible = new HashMap<>();
        /** Contents that were synced, regardless of later renames. */
        final List<byte[]> synced = new ArrayList<>();

        int calls;
        int crashAtCall = Integer.MAX_VALUE;
        int failAtCall = Integer.MAX_VALUE;

        private void step() throws IOException {
            calls++;
            if (calls == crashAtCall) {
                throw new SimulatedCrash();
            }
            if (calls == failAtCall) {
                throw new IOException("No space left on device");
            }
        }

        /** Simulates a power loss: a random choice decides on each name that was not synced. */
        FailingDisk crash(SplittableRandom random) {
            FailingDisk after = new FailingDisk();
            for (String name : names(visible, durable)) {
                byte[] content = random.nextBoolean() ? visible.get(name) : durable.get(name);
                if (content != null && synced.stream().noneMatch(bytes -> bytes == content)) {
                    // Never synced: any prefix may be present, and the rest may be zeros.
                    byte[] torn = Arrays.copyOf(content, random.nextInt(content.length + 1));
                    if (random.nextBoolean()) {
                        torn = Arrays.copyOf(torn, content.length);
                    }
                    after.durable.put(name, torn);
                } else if (content != null) {
                    after.durable.put(name, content);
                }
            }
            after.durable.values().forEach(after.synced::add);
            after.visible = new HashMap<>(after.durable);
            return after;
        }

        private static List<String> names(Map<String, byte[]> first, Map<String, byte[]> second) {
            List<String> names = new ArrayList<>(first.keySet());
            second.keySet().stream().filter(name -> !first.containsKey(name)).forEach(names::add);
            names.sort(null);
            return names;
        }

        @Override
        public List<String> names() {
            return new ArrayList<>(visible.keySet());
        }

        @Override
        public byte[] read(String name) throws IOException {
            if (!visible.containsKey(name)) {
                throw new IOException(name + " does not exist");
            }
            return visible.get(name).clone();
        }

        @Override
        public void write(String name, byte[] bytes) throws IOException {
            // Crashes or fails after half of the content was written.
            visible.put(name, Arrays.copyOf(bytes, bytes.length / 2));
            step();
            visible.put(name, bytes.clone());
        }

        @Override
        public void sync(String name) throws IOException {
            step();
            synced.add(visible.get(name));
        }

        @Override
        public void rename(String from, String to) throws IOException {
            step();
            visible.put(to, visible.remove(from));
        }

        @Override
        public void syncDirectory() throws IOException {
            step();
            durable = new HashMap<>(visible);
        }

        @Override
        public void delete(String name) throws IOException {
            step();
            visible.remove(name);
        }
    }

    private static byte[] content(int number) {
        return ("# version " + number + "\n" + "x".repeat(100)).getBytes(StandardCharsets.UTF_8);
    }

    /** Runs a sequence of changes and records the confirmed version after each step. */
    private static void runChanges(VersionStore store, List<Integer> confirmedAfter) throws IOException {
        for (int i = 1; i <= 4; i++) {
            int version = store.stage(content(i));
            confirmedAfter.add(store.confirmed());
            store.markOnTrial(version);
            confirmedAfter.add(store.confirmed());
            if (i != 3) {
                store.confirm(version);
            } else {
                store.markOnTrial(0);
            }
            confirmedAfter.add(store.confirmed());
        }
    }

    @Test
    void recoversOldOrNewStateAfterCrashAtAnyCall() throws IOException {
        FailingDisk complete = new FailingDisk();
        runChanges(new VersionStore(complete), new ArrayList<>());
        int points = complete.calls;
        int recovered = 0;
        for (int point = 1; point <= points; point++) {
            for (long seed = 0; seed < 20; seed++) {
                FailingDisk disk = new FailingDisk();
                disk.crashAtCall = point;
                List<Integer> confirmedAfter = new ArrayList<>(List.of(0));
                int crashedStep = 0;
                try {
                    runChanges(new VersionStore(disk), confirmedAfter);
                } catch (SimulatedCrash e) {
                    crashedStep = confirmedAfter.size();
                }
                FailingDisk after = disk.crash(new SplittableRandom(seed));
                VersionStore reopened = new VersionStore(after);
                int before = confirmedAfter.get(confirmedAfter.size() - 1);
                // The interrupted step may be a confirmation, in which case the next version is also correct.
                boolean confirming = crashedStep % 3 == 0 && crashedStep != 9;
                int next = before == 2 && crashedStep > 9 ? 4 : before + 1;
                assertTrue(
                        reopened.confirmed() == before || confirming && reopened.confirmed() == next,
                        "point " + point + " seed " + seed + ": " + reopened.confirmed() + " after " + before);
                if (reopened.confirmed() != 0) {
                    assertArrayEquals(content(reopened.confirmed()), reopened.content(reopened.confirmed()));
                }
                // The store accepts further changes.
                int version = reopened.stage(content(99));
                assertTrue(version > reopened.confirmed());
                reopened.confirm(version);
                assertArrayEquals(content(99), new VersionStore(after).content(version));
                recovered++;
            }
        }
        System.out.println("version store: " + points + " crash points, " + recovered + " crashes, all recovered");
        assertTrue(points >= 40, points + " points");
    }

    @Test
    void keepsStateWhenDiskFailsAtAnyCall() throws IOException {
        FailingDisk complete = new FailingDisk();
        runChanges(new VersionStore(complete), new ArrayList<>());
        for (int point = 1; point <= complete.calls; point++) {
            FailingDisk disk = new FailingDisk();
            disk.failAtCall = point;
            VersionStore store = new VersionStore(disk);
            List<Integer> confirmedAfter = new ArrayList<>(List.of(0));
            IOException failure = assertThrows(IOException.class, () -> runChanges(store, confirmedAfter));
            assertTrue(failure.getMessage().contains("could not be written: No space left"), failure::getMessage);
            assertEquals(confirmedAfter.get(confirmedAfter.size() - 1), store.confirmed());
            disk.failAtCall = Integer.MAX_VALUE;
            store.confirm(store.stage(content(50)));
            VersionStore reopened = new VersionStore(disk);
            assertEquals(store.confirmed(), reopened.confirmed());
            assertArrayEquals(content(50), reopened.content(reopened.confirmed()));
        }
    }

    @Test
    void reportsInterruptedTrialAfterCrash() throws IOException {
        FailingDisk disk = new FailingDisk();
        VersionStore store = new VersionStore(disk);
        store.confirm(store.stage(content(1)));
        store.markOnTrial(store.stage(content(2)));
        VersionStore reopened = new VersionStore(disk.crash(new SplittableRandom(1)));
        assertEquals(1, reopened.confirmed());
        assertEquals(2, reopened.interruptedTrial());
    }

    @Test
    void rejectsDamagedFiles(@TempDir Path directory) throws IOException {
        try (VersionStore store = VersionStore.in(directory)) {
            store.confirm(store.stage(content(1)));
        }
        Path version = directory.resolve(VersionStore.name(1));
        byte[] intact = Files.readAllBytes(version);
        byte[] damaged = intact.clone();
        damaged[5] ^= 1;
        Files.write(version, damaged);
        try (VersionStore store = VersionStore.in(directory)) {
            assertTrue(assertThrows(IOException.class, () -> store.content(1))
                    .getMessage()
                    .contains("damaged"));
        }
        Files.write(version, intact);
        Path state = directory.resolve("state.json");
        byte[] text = Files.readAllBytes(state);
        for (int at : new int[] {0, 30, 70, text.length - 2}) {
            byte[] damagedState = text.clone();
            damagedState[at] ^= 4;
            Files.write(state, damagedState);
            assertTrue(assertThrows(IOException.class, () -> VersionStore.in(directory))
                    .getMessage()
                    .contains("damaged"));
        }
    }

    @Test
    void locksDirectoryExclusively(@TempDir Path directory) throws IOException {
        try (VersionStore store = VersionStore.in(directory)) {
            assertEquals(0, store.confirmed());
            assertTrue(assertThrows(IOException.class, () -> VersionStore.in(directory))
                    .getMessage()
                    .contains("in use"));
        }
        VersionStore.in(directory).close();
    }

    @Test
    void prunesOldVersionsButRetainsConfirmedVersion(@TempDir Path directory) throws IOException {
        try (VersionStore store = VersionStore.in(directory)) {
            store.confirm(store.stage(content(1)));
            for (int i = 2; i <= 200; i++) {
                store.stage(content(i));
            }
            assertArrayEquals(content(1), store.content(1));
            assertThrows(IOException.class, () -> store.content(2));
            try (var files = Files.list(directory)) {
                assertTrue(files.count() < 50);
            }
        }
    }
}
