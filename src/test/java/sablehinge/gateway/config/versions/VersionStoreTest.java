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

/** What is on disk after a death at any point, and with a disk that fails. */
class VersionStoreTest {

    /** The process has died in the middle of a call. */
    private static final class Death extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    /**
     * A disk that keeps only what was synced, and of the rest what chance lets through: a name may or may not have
     * changed, content may be complete, torn, or none.
     */
    private static final class FailingDisk implements Disk {
        /** What a crash leaves: content by name. */
        Map<String, byte[]> durable = new HashMap<>();
        /** What a process sees. */
        Map<String, byte[]> seen = new HashMap<>();
        /** Contents that were synced under their present names or names before. */
        final List<byte[]> synced = new ArrayList<>();

        int calls;
        int dieAt = Integer.MAX_VALUE;
        int failAt = Integer.MAX_VALUE;

        private void step() throws IOException {
            calls++;
            if (calls == dieAt) {
                throw new Death();
            }
            if (calls == failAt) {
                throw new IOException("No space left on device");
            }
        }

        /** The power goes: chance decides on each name that was not synced. */
        FailingDisk crash(SplittableRandom random) {
            FailingDisk after = new FailingDisk();
            for (String name : names(seen, durable)) {
                byte[] now = random.nextBoolean() ? seen.get(name) : durable.get(name);
                if (now != null && synced.stream().noneMatch(content -> content == now)) {
                    // Never synced: any part of it may be there, and the rest be zeros.
                    byte[] torn = Arrays.copyOf(now, random.nextInt(now.length + 1));
                    if (random.nextBoolean()) {
                        torn = Arrays.copyOf(torn, now.length);
                    }
                    after.durable.put(name, torn);
                } else if (now != null) {
                    after.durable.put(name, now);
                }
            }
            after.durable.values().forEach(after.synced::add);
            after.seen = new HashMap<>(after.durable);
            return after;
        }

        private static List<String> names(Map<String, byte[]> one, Map<String, byte[]> other) {
            List<String> names = new ArrayList<>(one.keySet());
            other.keySet().stream().filter(name -> !one.containsKey(name)).forEach(names::add);
            names.sort(null);
            return names;
        }

        @Override
        public List<String> names() {
            return new ArrayList<>(seen.keySet());
        }

        @Override
        public byte[] read(String name) throws IOException {
            if (!seen.containsKey(name)) {
                throw new IOException(name + " is not there");
            }
            return seen.get(name).clone();
        }

        @Override
        public void write(String name, byte[] bytes) throws IOException {
            // Dies or fails with a part of it written.
            seen.put(name, Arrays.copyOf(bytes, bytes.length / 2));
            step();
            seen.put(name, bytes.clone());
        }

        @Override
        public void sync(String name) throws IOException {
            step();
            synced.add(seen.get(name));
        }

        @Override
        public void rename(String from, String to) throws IOException {
            step();
            seen.put(to, seen.remove(from));
        }

        @Override
        public void syncDirectory() throws IOException {
            step();
            durable = new HashMap<>(seen);
        }

        @Override
        public void delete(String name) throws IOException {
            step();
            seen.remove(name);
        }
    }

    private static byte[] content(int number) {
        return ("# version " + number + "\n" + "x".repeat(100)).getBytes(StandardCharsets.UTF_8);
    }

    /** The story of a few changes; notes after each step what must now be true. */
    private static void story(VersionStore store, List<Integer> confirmedAfter) throws IOException {
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
    void aDeathAtAnyCallLeavesTheOldStateOrTheNew() throws IOException {
        FailingDisk complete = new FailingDisk();
        story(new VersionStore(complete), new ArrayList<>());
        int points = complete.calls;
        int recovered = 0;
        for (int point = 1; point <= points; point++) {
            for (long seed = 0; seed < 20; seed++) {
                FailingDisk disk = new FailingDisk();
                disk.dieAt = point;
                List<Integer> confirmedAfter = new ArrayList<>(List.of(0));
                int tried = 0;
                try {
                    story(new VersionStore(disk), confirmedAfter);
                } catch (Death e) {
                    tried = confirmedAfter.size();
                }
                FailingDisk after = disk.crash(new SplittableRandom(seed));
                VersionStore again = new VersionStore(after);
                int before = confirmedAfter.get(confirmedAfter.size() - 1);
                // The step that died may be a confirmation, in which case the next version is as right.
                boolean confirming = tried % 3 == 0 && tried != 9;
                int next = before == 2 && tried > 9 ? 4 : before + 1;
                assertTrue(
                        again.confirmed() == before || confirming && again.confirmed() == next,
                        "point " + point + " seed " + seed + ": " + again.confirmed() + " after " + before);
                if (again.confirmed() != 0) {
                    assertArrayEquals(content(again.confirmed()), again.content(again.confirmed()));
                }
                // And it goes on.
                int version = again.stage(content(99));
                assertTrue(version > again.confirmed());
                again.confirm(version);
                assertArrayEquals(content(99), new VersionStore(after).content(version));
                recovered++;
            }
        }
        System.out.println("version store: " + points + " points of death, " + recovered + " crashes, all recovered");
        assertTrue(points >= 40, points + " points");
    }

    @Test
    void aDiskThatFailsAtAnyCallRefusesTheStepAndKeepsTheState() throws IOException {
        FailingDisk complete = new FailingDisk();
        story(new VersionStore(complete), new ArrayList<>());
        for (int point = 1; point <= complete.calls; point++) {
            FailingDisk disk = new FailingDisk();
            disk.failAt = point;
            VersionStore store = new VersionStore(disk);
            List<Integer> confirmedAfter = new ArrayList<>(List.of(0));
            IOException refused = assertThrows(IOException.class, () -> story(store, confirmedAfter));
            assertTrue(refused.getMessage().contains("could not be written: No space left"), refused::getMessage);
            assertEquals(confirmedAfter.get(confirmedAfter.size() - 1), store.confirmed());
            disk.failAt = Integer.MAX_VALUE;
            store.confirm(store.stage(content(50)));
            VersionStore again = new VersionStore(disk);
            assertEquals(store.confirmed(), again.confirmed());
            assertArrayEquals(content(50), again.content(again.confirmed()));
        }
    }

    @Test
    void whatWasOnTrialAtADeathIsTold() throws IOException {
        FailingDisk disk = new FailingDisk();
        VersionStore store = new VersionStore(disk);
        store.confirm(store.stage(content(1)));
        store.markOnTrial(store.stage(content(2)));
        VersionStore again = new VersionStore(disk.crash(new SplittableRandom(1)));
        assertEquals(1, again.confirmed());
        assertEquals(2, again.interruptedTrial());
    }

    @Test
    void damageIsToldAndNotServed(@TempDir Path folder) throws IOException {
        try (VersionStore store = VersionStore.in(folder)) {
            store.confirm(store.stage(content(1)));
        }
        Path version = folder.resolve(VersionStore.name(1));
        byte[] good = Files.readAllBytes(version);
        byte[] bad = good.clone();
        bad[5] ^= 1;
        Files.write(version, bad);
        try (VersionStore store = VersionStore.in(folder)) {
            assertTrue(assertThrows(IOException.class, () -> store.content(1))
                    .getMessage()
                    .contains("damaged"));
        }
        Files.write(version, good);
        Path state = folder.resolve("state.json");
        byte[] text = Files.readAllBytes(state);
        for (int at : new int[] {0, 30, 70, text.length - 2}) {
            byte[] spoilt = text.clone();
            spoilt[at] ^= 4;
            Files.write(state, spoilt);
            assertTrue(assertThrows(IOException.class, () -> VersionStore.in(folder))
                    .getMessage()
                    .contains("damaged"));
        }
    }

    @Test
    void oneProcessAtATimeHasADirectory(@TempDir Path folder) throws IOException {
        try (VersionStore store = VersionStore.in(folder)) {
            assertEquals(0, store.confirmed());
            assertTrue(assertThrows(IOException.class, () -> VersionStore.in(folder))
                    .getMessage()
                    .contains("in use"));
        }
        VersionStore.in(folder).close();
    }

    @Test
    void oldVersionsGoAndThePresentOneStays(@TempDir Path folder) throws IOException {
        try (VersionStore store = VersionStore.in(folder)) {
            store.confirm(store.stage(content(1)));
            for (int i = 2; i <= 200; i++) {
                store.stage(content(i));
            }
            assertArrayEquals(content(1), store.content(1));
            assertThrows(IOException.class, () -> store.content(2));
            try (var files = Files.list(folder)) {
                assertTrue(files.count() < 50);
            }
        }
    }
}
