package sablehinge.cli.mesh.operator;

import java.util.ArrayList;
import java.util.List;

/** Lines whose columns stand below each other. */
final class TextTable {

    private static final String GAP = "  ";

    private final List<String[]> lines = new ArrayList<>();

    TextTable(String... heads) {
        lines.add(heads);
    }

    /** A line; null is shown as a dash, and a line may be shorter than the heads. */
    TextTable line(Object... cells) {
        String[] line = new String[cells.length];
        for (int i = 0; i < cells.length; i++) {
            line[i] = cells[i] == null || cells[i].equals("") ? "-" : cells[i].toString();
        }
        lines.add(line);
        return this;
    }

    void print(Shell shell) {
        int[] widths = new int[lines.get(0).length];
        for (String[] line : lines) {
            // The end of a line that is cut short has all the rest of the width.
            int cells = line.length < widths.length ? line.length - 1 : line.length;
            for (int i = 0; i < cells; i++) {
                widths[i] = Math.max(widths[i], line[i].length());
            }
        }
        for (String[] line : lines) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < line.length; i++) {
                text.append(line[i]);
                if (i < line.length - 1) {
                    text.append(" ".repeat(widths[i] - line[i].length())).append(GAP);
                }
            }
            shell.say(text.toString());
        }
    }
}
