package sablehinge.common.settings;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A table of a settings file, read by key. A key that is missing, of another type or out of range is invalid. */
final class SettingsTable {

    private static final double MAX_NUMBER = 1e300;

    private static final int MAX_PORT = 65_535;

    private static final int MAX_PORT_DIGITS = 5;

    /** A key is missing, or its value is of another type or out of range; the message names the key with its tables. */
    static final class InvalidKeyException extends RuntimeException {

        private static final long serialVersionUID = 1;

        InvalidKeyException(String key) {
            super(key, null, false, false);
        }
    }

    private final String path;

    private final Map<?, ?> fields;

    SettingsTable(String path, Map<?, ?> fields) {
        this.path = path;
        this.fields = fields;
    }

    InvalidKeyException invalid(String key) {
        return new InvalidKeyException(path + key);
    }

    private Object required(String key) {
        Object value = fields.get(key);
        if (value == null) {
            throw invalid(key);
        }
        return value;
    }

    SettingsTable table(String key) {
        if (required(key) instanceof Map<?, ?> map) {
            return new SettingsTable(path + key + ".", map);
        }
        throw invalid(key);
    }

    /** The table of a key; an empty table if the key is missing. */
    SettingsTable tableIfAny(String key) {
        return fields.containsKey(key) ? table(key) : new SettingsTable(path + key + ".", Map.of());
    }

    private String text(String key, Object value) {
        if (value instanceof String text) {
            return text;
        }
        throw invalid(key);
    }

    /** A non-empty text. */
    String name(String key) {
        String text = text(key, required(key));
        if (text.isEmpty()) {
            throw invalid(key);
        }
        return text;
    }

    String nameIfAny(String key) {
        return fields.containsKey(key) ? name(key) : null;
    }

    private String address(String key, Object value) {
        String text = text(key, value);
        int colon = text.indexOf(':');
        int digits = text.length() - colon - 1;
        int port = 0;
        for (int i = colon + 1; i < text.length() && digits <= MAX_PORT_DIGITS; i++) {
            char digit = text.charAt(i);
            if (digit < '0' || digit > '9' || port == 0 && digit == '0') {
                throw invalid(key);
            }
            port = 10 * port + digit - '0';
        }
        if (colon < 1 || port < 1 || port > MAX_PORT) {
            throw invalid(key);
        }
        return text;
    }

    /** An address with a port; null if the key is missing. */
    String addressIfAny(String key) {
        return fields.containsKey(key) ? address(key, required(key)) : null;
    }

    boolean flag(String key) {
        if (required(key) instanceof Boolean flag) {
            return flag;
        }
        throw invalid(key);
    }

    boolean flag(String key, boolean defaultValue) {
        return fields.containsKey(key) ? flag(key) : defaultValue;
    }

    private double number(String key, Object value, double minimum, double maximum) {
        if (value instanceof Double number && number >= minimum && number <= maximum) {
            return number;
        }
        throw invalid(key);
    }

    /** A number, 0 or more. */
    double figure(String key) {
        return number(key, required(key), 0, MAX_NUMBER);
    }

    double figure(String key, double defaultValue) {
        return fields.containsKey(key) ? figure(key) : defaultValue;
    }

    private int integer(String key, Object value, int minimum, int maximum) {
        double number = number(key, value, minimum, maximum);
        if (number != Math.rint(number)) {
            throw invalid(key);
        }
        return (int) number;
    }

    /** An integer, 0 or more. */
    int count(String key) {
        return integer(key, required(key), 0, Integer.MAX_VALUE);
    }

    private List<?> list(String key) {
        if (required(key) instanceof List<?> list) {
            return list;
        }
        throw invalid(key);
    }

    List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        for (Object item : list(key)) {
            texts.add(text(key, item));
        }
        return texts;
    }

    List<String> addresses(String key) {
        List<String> addresses = new ArrayList<>();
        for (Object item : list(key)) {
            addresses.add(address(key, item));
        }
        return addresses;
    }

    /** A list of two ports. */
    int[] ports(String key) {
        List<?> ports = list(key);
        if (ports.size() != 2) {
            throw invalid(key);
        }
        return new int[] {integer(key, ports.get(0), 1, MAX_PORT), integer(key, ports.get(1), 1, MAX_PORT)};
    }

    /** All keys of this table with their texts, which must not be empty, in their order. */
    Map<String, String> names() {
        Map<String, String> names = new LinkedHashMap<>();
        for (Object key : fields.keySet()) {
            names.put((String) key, name((String) key));
        }
        return Collections.unmodifiableMap(names);
    }
}
