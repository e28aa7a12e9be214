package sablehinge.torture;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.tools.FileObject;
import javax.tools.ForwardingJavaFileManager;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileManager;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/** The program's classes with one of them replaced by a mutant, beside the real ones. */
public final class MutantLoader extends ClassLoader {

    private final Map<String, byte[]> classes;

    private MutantLoader(Map<String, byte[]> classes) {
        super(MutantLoader.class.getClassLoader());
        this.classes = classes;
    }

    /** Loads a mutant, compiled from the sources under the given root. */
    public static MutantLoader of(Mutant mutant, Path sources) throws IOException {
        return new MutantLoader(compile(mutant, sources));
    }

    /** Compiles a mutant from the sources under the given root: its classes by their names. */
    public static Map<String, byte[]> compile(Mutant mutant, Path sources) throws IOException {
        Path file = sources.resolve("sablehinge/" + mutant.in() + ".java");
        String text = mutant.applied(Files.readString(file));
        Map<String, byte[]> made = new HashMap<>();
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        StringBuilder errors = new StringBuilder();
        try (StandardJavaFileManager files = compiler.getStandardFileManager(null, null, null)) {
            JavaFileManager kept = new ForwardingJavaFileManager<>(files) {
                @Override
                public JavaFileObject getJavaFileForOutput(
                        Location location, String name, JavaFileObject.Kind kind, FileObject sibling) {
                    return new SimpleJavaFileObject(URI.create("mem:///" + name), kind) {
                        @Override
                        public OutputStream openOutputStream() {
                            return new ByteArrayOutputStream() {
                                @Override
                                public void close() {
                                    made.put(name, toByteArray());
                                }
                            };
                        }
                    };
                }
            };
            JavaFileObject source =
                    new SimpleJavaFileObject(
                            URI.create("mem:///" + mutant.in() + ".java"), JavaFileObject.Kind.SOURCE) {
                        @Override
                        public CharSequence getCharContent(boolean lenient) {
                            return text;
                        }
                    };
            boolean done = compiler.getTask(
                            null,
                            kept,
                            notified -> errors.append(notified).append('\n'),
                            List.of("-classpath", System.getProperty("java.class.path"), "-proc:none", "-nowarn"),
                            null,
                            List.of(source))
                    .call();
            if (!done) {
                throw new IllegalStateException("mutant '" + mutant.name() + "' is no Java:\n" + errors);
            }
        }
        return made;
    }

    /** The program's own classes are loaded here, so that they meet the mutant; the rest comes from above. */
    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        if (!name.startsWith("sablehinge.")) {
            return super.loadClass(name, resolve);
        }
        synchronized (getClassLoadingLock(name)) {
            Class<?> known = findLoadedClass(name);
            if (known != null) {
                return known;
            }
            byte[] bytes = classes.get(name);
            if (bytes == null) {
                try (InputStream in = getParent().getResourceAsStream(name.replace('.', '/') + ".class")) {
                    if (in == null) {
                        throw new ClassNotFoundException(name);
                    }
                    bytes = in.readAllBytes();
                } catch (IOException e) {
                    throw new ClassNotFoundException(name, e);
                }
            }
            return defineClass(name, bytes, 0, bytes.length);
        }
    }
}
