package sablehinge.gateway.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import sablehinge.dataplane.budget.Keys;
import sablehinge.gateway.config.operator.OperatorConfig.BudgetPart;
import sablehinge.gateway.config.operator.OperatorFile;

/** Reads the secrets that sign budgets. */
final class BudgetKeys {

    private BudgetKeys() {}

    /**
     * Reads the keys that an operator file names, by paths relative to that file; null if it names none.
     *
     * @throws IOException if a secret can't be read or is not valid
     */
    static Keys read(Path operatorFile, BudgetPart part) throws IOException {
        if (part.keys().isEmpty()) {
            return null;
        }
        Map<String, byte[]> secrets = new LinkedHashMap<>();
        for (Map.Entry<String, String> key : part.keys().entrySet()) {
            secrets.put(key.getKey(), secret(operatorFile, key));
        }
        try {
            return new Keys(secrets);
        } catch (IllegalArgumentException e) {
            throw new IOException("budget: " + e.getMessage(), e);
        }
    }

    private static byte[] secret(Path operatorFile, Map.Entry<String, String> key) throws IOException {
        Path secretFile = operatorFile.toAbsolutePath().getParent().resolve(key.getValue());
        try {
            return OperatorFile.bytes(secretFile);
        } catch (IOException e) {
            throw new IOException("budget key " + key.getKey() + ": " + key.getValue() + ": " + e.getMessage(), e);
        }
    }
}
