package sablehinge.dataplane.http1;

import java.util.Arrays;
import java.util.List;

/** An upstream's load report: {@code TEXT inflight=7, queue=2, util=0.61}. */
final class LoadReport {

    private static final String PREFIX = "TEXT";
    /** Values above this are invalid. */
    private static final double MAX_VALUE = 1e9;

    private LoadReport() {}

    /** The values of the given fields in their order; null unless the text contains all of them, each in range. */
    static double[] parse(String text, List<String> fields) {
        if (text == null || fields.isEmpty()) {
            return null;
        }
        double[] values = new double[fields.size()];
        Arrays.fill(values, Double.NaN);
        String pairs = text.strip();
        if (pairs.startsWith(PREFIX)) {
            pairs = pairs.substring(PREFIX.length());
        }
        for (String pair : pairs.split(",")) {
            int equals = pair.indexOf('=');
            int field =
                    equals < 0 ? -1 : fields.indexOf(pair.substring(0, equals).strip());
            if (field >= 0) {
                try {
                    values[field] =
                            Double.parseDouble(pair.substring(equals + 1).strip());
                } catch (NumberFormatException e) {
                    return null;
                }
            }
        }
        // NaN compares false.
        return Arrays.stream(values).allMatch(value -> value >= 0 && value <= MAX_VALUE) ? values : null;
    }
}
