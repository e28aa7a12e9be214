package sablehinge.gateway.config.operator;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlVersion;

/** Parses the bytes of a file as TOML; what is amiss is noted, and no file ends the process. */
final class TomlText {

    /** Brackets within brackets: nothing of this file needs more than 3. */
    private static final int MAX_NESTED = 32;

    private final List<Problem> problems;

    private TomlText(List<Problem> problems) {
        this.problems = problems;
    }

    /** Parses a file; null if it is no TOML, with the problems noted. */
    static TomlParseResult parse(byte[] bytes, List<Problem> problems) {
        return new TomlText(problems).parse(bytes);
    }

    private void problem(int line, String message) {
        problems.add(new Problem(line, "", message));
    }

    private TomlParseResult parse(byte[] bytes) {
        if (bytes.length > OperatorFile.MAX_BYTES) {
            problem(0, "has " + bytes.length + " bytes, expected " + OperatorFile.MAX_BYTES + " at most");
            return null;
        }
        String text = decode(bytes);
        if (text == null || nestedTooDeep(text)) {
            return null;
        }
        TomlParseResult toml;
        try {
            toml = Toml.parse(text, TomlVersion.V1_0_0);
        } catch (StackOverflowError | RuntimeException e) {
            // Guards against what the parser's authors have not thought of: a bad file must not end a daemon.
            problem(0, "can't be read as TOML (" + e.getClass().getSimpleName() + ")");
            return null;
        }
        toml.errors()
                .forEach(e ->
                        problem(e.position() == null ? 0 : e.position().line(), Section.plain(e.getMessage(), 200)));
        if (toml.hasErrors()) {
            return null;
        }
        return toml;
    }

    private String decode(byte[] bytes) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            problem(firstBadLine(bytes), "is not UTF-8 in this line, expected UTF-8 throughout");
            return null;
        }
    }

    private static int firstBadLine(byte[] bytes) {
        int line = 1;
        int from = 0;
        for (int i = 0; i <= bytes.length; i++) {
            if (i == bytes.length || bytes[i] == '\n') {
                try {
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes, from, i - from));
                } catch (CharacterCodingException e) {
                    return line;
                }
                line++;
                from = i + 1;
            }
        }
        return line;
    }

    /**
     * The parser is recursive, and what ends its stack could leave a class of it half loaded for good: that is refused
     * before, with a line. Brackets in texts and comments don't count.
     */
    private boolean nestedTooDeep(String text) {
        int depth = 0;
        int line = 1;
        // What ends the text that i is in: a quote, three of them, or the line for a comment.
        String ends = null;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            line += c == '\n' ? 1 : 0;
            if (ends != null) {
                if (c == '\\' && ends.startsWith("\"")) {
                    i++;
                } else if (text.startsWith(ends, i) || c == '\n' && ends.length() == 1) {
                    i += ends.length() - 1;
                    ends = null;
                }
            } else if (c == '#') {
                ends = "\n";
            } else if (c == '"' || c == '\'') {
                String three = String.valueOf(c).repeat(3);
                ends = text.startsWith(three, i) ? three : String.valueOf(c);
                i += ends.length() - 1;
            } else if (c == '[' || c == '{') {
                depth++;
            } else if (c == ']' || c == '}') {
                depth = Math.max(0, depth - 1);
            }
            if (depth > MAX_NESTED) {
                problem(line, "brackets are nested more than " + MAX_NESTED + " deep");
                return true;
            }
        }
        return false;
    }
}
