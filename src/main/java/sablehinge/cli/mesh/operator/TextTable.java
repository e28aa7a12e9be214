package sablehinge.cli.mesh.operator;

import java.util.ArrayList;
import java.util.List;

/** A text table with aligned columns. */
final class TextTable {

    private static final String GAP = "  ";

    private final List<String[]> lines = new ArrayList<>();

    TextTable(String... headers) {
        lines.add(headers);
    }

    /** Adds a line; null is shown as a dash. A line may have fewer cells than the header. */
    TextTable line(Object... cells) {
        String[] line = new String[cells.length];
        for (int i = 0; i < cells.length; i++) {
            line[i] = cells[i] == null || cells[i].equals("") ? "-" : cells[i].toString();
        }
        lines.add(line);
        return this;
    }

    void print(CommandContext context) {
        int[] widths = new int[lines.get(0).length];
        for (String[] line : lines) {
            // The last cell of a shorter line may extend to the end of the table, so it does not widen its column.
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
            context.printLine(text.toString());
        }
    }
}
