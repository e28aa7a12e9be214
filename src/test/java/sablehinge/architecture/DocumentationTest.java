package sablehinge.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The pages of the repository name files and classes that are there. */
class DocumentationTest {

    /** Names of libraries, and options of the virtual machine, that look like classes of ours. */
    private static final Set<String> FOREIGN = Set.of(
            "AsyncAppender",
            "DefaultAddressResolverGroup",
            "EmbeddedChannel",
            "JsonEncoder",
            "LocalChannel",
            "ManualIoEventLoop",
            "MaxDirectMemorySize",
            "SharedArchiveFile",
            "SimpleFormatter",
            "UseZGC");

    private static final Pattern LINK = Pattern.compile("\\]\\(([^)#\\s]+)(?:#[^)]*)?\\)");
    private static final Pattern CODE = Pattern.compile("`([^`\\n]+)`");
    /** A class of two or more words, with its package if that is named. */
    private static final Pattern CLASS =
            Pattern.compile("(?<![\\w/.-])((?:[a-z][a-z0-9]*\\.)*)([A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)+)(?![\\w/-])");

    /** A member of a class, such as {@code RaftNode.hasLease}. */
    private static final Pattern MEMBER = Pattern.compile("(?<![\\w/-])([A-Z]\\w+)\\.([a-z]\\w+)");

    private static final Pattern TYPE = Pattern.compile("\\b(?:class|record|interface|enum) (\\w+)");
    private static final List<Path> SOURCES =
            List.of(Path.of("src/main/java"), Path.of("src/test/java"), Path.of("bench/src"));

    private static List<Path> files(Path root, String ending) throws IOException {
        try (Stream<Path> all = Files.walk(root)) {
            return all.filter(file -> file.toString().endsWith(ending)).toList();
        }
    }

    private static List<Path> pages() throws IOException {
        return Stream.concat(Stream.of(Path.of("README.md")), files(Path.of("docs"), ".md").stream())
                .toList();
    }

    /** Each type by its simple name, with the packages that have one, such as {@code controlplane.raft.}. */
    private static Map<String, Set<String>> types() throws IOException {
        Map<String, Set<String>> types = new HashMap<>();
        for (Path source : SOURCES) {
            Path root = source.resolve("sablehinge");
            for (Path file : files(root, ".java")) {
                Path folder = root.relativize(file).getParent();
                String name = folder == null ? "" : folder.toString().replace('/', '.') + ".";
                Matcher type = TYPE.matcher(Files.readString(file));
                while (type.find()) {
                    types.computeIfAbsent(type.group(1), key -> new HashSet<>()).add(name);
                }
            }
        }
        return types;
    }

    @Test
    void everyLinkLeadsToAFile() throws IOException {
        Set<String> dangling = new TreeSet<>();
        for (Path page : pages()) {
            Matcher link = LINK.matcher(Files.readString(page));
            while (link.find()) {
                String target = link.group(1);
                Path folder = page.getParent() == null ? Path.of("") : page.getParent();
                if (!target.contains("://") && !Files.exists(folder.resolve(target))) {
                    dangling.add(page + ": " + target);
                }
            }
        }
        assertEquals(Set.of(), dangling);
    }

    @Test
    void everyClassThatAPageNamesIsThere() throws IOException {
        Map<String, Set<String>> types = types();
        assertTrue(types.containsKey("RaftNode"), "the sources were not found");
        Set<String> missing = new TreeSet<>();
        for (Path page : pages()) {
            Matcher code = CODE.matcher(Files.readString(page));
            while (code.find()) {
                Matcher named = CLASS.matcher(code.group(1));
                while (named.find()) {
                    String inPackage = named.group(1).replaceFirst("^sablehinge\\.", "");
                    String name = named.group(2);
                    Set<String> packages = types.getOrDefault(name, Set.of());
                    boolean there = packages.stream().anyMatch(one -> one.endsWith(inPackage));
                    if (!there && !FOREIGN.contains(name)) {
                        missing.add(page + ": " + inPackage + name);
                    }
                }
            }
        }
        assertEquals(Set.of(), missing);
    }

    /** A name may be cut short by dots: the beginning has to be there. */
    @Test
    void everyMemberThatAPageNamesIsInItsClass() throws IOException {
        Map<String, StringBuilder> sources = new HashMap<>();
        for (Path source : SOURCES) {
            for (Path file : files(source, ".java")) {
                String text = Files.readString(file);
                Matcher type = TYPE.matcher(text);
                Set<String> here = new HashSet<>();
                while (type.find()) {
                    here.add(type.group(1));
                }
                here.forEach(name -> sources.computeIfAbsent(name, key -> new StringBuilder())
                        .append(text));
            }
        }
        Set<String> missing = new TreeSet<>();
        for (Path page : pages()) {
            Matcher code = CODE.matcher(Files.readString(page));
            while (code.find()) {
                Matcher member = MEMBER.matcher(code.group(1));
                while (member.find()) {
                    StringBuilder text = sources.get(member.group(1));
                    if (text != null
                            && !Pattern.compile("\\b" + member.group(2))
                                    .matcher(text)
                                    .find()) {
                        missing.add(page + ": " + member.group());
                    }
                }
            }
        }
        assertEquals(Set.of(), missing);
    }
}
