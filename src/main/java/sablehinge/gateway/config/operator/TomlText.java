package sablehinge.gateway.config.operator;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlVersion;

/** Parses the bytes of a file as TOML. All errors are reported as problems; no input may end the process. */
final class TomlText {

    /** Maximum nesting of brackets; a valid operator file needs at most 3 levels. */
    private static final int MAX_NESTING_DEPTH = 32;

    private final List<Problem> problems;

    private TomlText(List<Problem> problems) {
        this.problems = problems;
    }

    /** Parses a file. Returns null and adds to the problems if it is not valid TOML. */
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
            // Guards against bugs of the parser: an invalid file must not end the process.
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
            problem(firstInvalidLine(bytes), "is not UTF-8 in this line, expected UTF-8 throughout");
            return null;
        }
    }

    private static int firstInvalidLine(byte[] bytes) {
        int line = 1;
        int lineStart = 0;
        for (int i = 0; i <= bytes.length; i++) {
            if (i == bytes.length || bytes[i] == '\n') {
                try {
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes, lineStart, i - lineStart));
                } catch (CharacterCodingException e) {
                    return line;
                }
                line++;
                lineStart = i + 1;
            }
        }
        return line;
    }

    /**
     * Reports deeply nested brackets with their line before parsing. The parser is recursive, and a stack overflow
     * could leave one of its classes permanently half initialized. Brackets in strings and comments don't count.
     */
    private boolean nestedTooDeep(String text) {
        int depth = 0;
        int line = 1;
        // The terminator of the current string or comment: one quote, three quotes or a newline; null outside of both.
        String terminator = null;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            line += c == '\n' ? 1 : 0;
            if (terminator != null) {
                if (c == '\\' && terminator.startsWith("\"")) {
                    i++;
                } else if (text.startsWith(terminator, i) || c == '\n' && terminator.length() == 1) {
                    i += terminator.length() - 1;
                    terminator = null;
                }
            } else if (c == '#') {
                terminator = "\n";
            } else if (c == '"' || c == '\'') {
                String tripleQuote = String.valueOf(c).repeat(3);
                terminator = text.startsWith(tripleQuote, i) ? tripleQuote : String.valueOf(c);
                i += terminator.length() - 1;
            } else if (c == '[' || c == '{') {
                depth++;
            } else if (c == ']' || c == '}') {
                depth = Math.max(0, depth - 1);
            }
            if (depth > MAX_NESTING_DEPTH) {
                problem(line, "brackets are nested more than " + MAX_NESTING_DEPTH + " deep");
                return true;
            }
        }
        return false;
    }
}
