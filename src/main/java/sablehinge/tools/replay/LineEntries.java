package sablehinge.tools.replay;

import java.io.IOException;
import java.io.InputStream;
import sablehinge.tools.replay.LogFormat.UnreadableLineException;

/** The requests of a log that has a line for each. */
final class LineEntries implements EntryReader {

    private final String name;
    private final InputStream in;
    private final LineReader lines;
    private final LogFormat format;
    private final UnreadableLines unreadable;
    private boolean ended;

    LineEntries(String name, InputStream in, LogFormat format, UnreadableLines unreadable) {
        this.name = name;
        this.in = in;
        lines = new LineReader(in);
        this.format = format;
        this.unreadable = unreadable;
    }

    @Override
    public LogEntry next() throws IOException {
        while (!ended) {
            String line;
            try {
                line = lines.next();
            } catch (UnreadableLines.StrictException e) {
                throw e;
            } catch (IOException | RuntimeException e) {
                // A packed file that is cut off, or spoilt: what came before it counts, and that it ended.
                unreadable.note(name, lines.number() + 1, "the file can't be read on from here: " + Logs.message(e));
                ended = true;
                return null;
            }
            if (line == null) {
                return null;
            }
            if (lines.tooLong()) {
                unreadable.note(name, lines.number(), "expected at most " + LineReader.MAX_BYTES + " bytes in a line");
                continue;
            }
            if (line.isBlank()) {
                continue;
            }
            try {
                return format.parse(line);
            } catch (UnreadableLineException e) {
                unreadable.note(name, lines.number(), e.getMessage());
            }
        }
        return null;
    }

    @Override
    public boolean timeIsEnd() {
        return format.timeIsEnd();
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
