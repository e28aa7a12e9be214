package sablehinge.common.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxy;
import ch.qos.logback.core.LayoutBase;
import java.io.PrintWriter;
import java.io.StringWriter;
import org.slf4j.event.KeyValuePair;

/**
 * Formats each event as a line of key=value pairs: time in ms since 1970, level, logger, the event's own pairs,
 * message.
 */
final class PairLines extends LayoutBase<ILoggingEvent> {

    @Override
    public String doLayout(ILoggingEvent line) {
        StringBuilder out = new StringBuilder(160);
        out.append("at=").append(line.getTimeStamp()).append(" level=").append(line.getLevel());
        String logger = line.getLoggerName();
        out.append(" part=").append(logger.startsWith("sablehinge.") ? logger.substring(11) : logger);
        if (line.getKeyValuePairs() != null) {
            for (KeyValuePair pair : line.getKeyValuePairs()) {
                out.append(' ').append(pair.key).append('=');
                appendValue(String.valueOf(pair.value), out);
            }
        }
        out.append(" message=");
        appendValue(line.getFormattedMessage(), out);
        if (line.getThrowableProxy() instanceof ThrowableProxy thrown) {
            StringWriter stack = new StringWriter();
            thrown.getThrowable().printStackTrace(new PrintWriter(stack, true));
            out.append(" stack=");
            appendValue(stack.toString(), out);
        }
        return out.append('\n').toString();
    }

    /** Appends a value, in quotation marks if its end would be ambiguous otherwise. */
    private static void appendValue(String text, StringBuilder out) {
        boolean plain = !text.isEmpty();
        for (int i = 0; i < text.length() && plain; i++) {
            char c = text.charAt(i);
            plain = c > ' ' && c != '"' && c != '=' && c != 127;
        }
        if (plain) {
            out.append(text);
            return;
        }
        out.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            switch (c) {
                case '"', '\\' -> out.append('\\').append(c);
                case '\n' -> out.append("\\n");
                case '\t' -> out.append("\\t");
                default -> out.append(c < ' ' || c == 127 ? '?' : c);
            }
        }
        out.append('"');
    }
}
