package sablehinge.gateway.config.operator;

import java.util.LinkedHashMap;
import java.util.Map;
import sablehinge.dataplane.budget.Budget;
import sablehinge.dataplane.budget.BudgetSettings;
import sablehinge.dataplane.budget.LoadShedder;
import sablehinge.gateway.config.operator.OperatorConfig.BudgetPart;

/** Reads the settings of attempt budgets over a chain of tiers. */
final class BudgetSection {

    private BudgetSection() {}

    static BudgetPart read(Section s) {
        String service = s.name("service", null);
        boolean entry = s.flag("entry", true);
        int attempts = s.integer("attempts", 8, 1, Budget.MAX_ATTEMPTS);
        int need = s.integer("need", 1, 1, Budget.MAX_ATTEMPTS);
        boolean last = s.flag("last", false);
        if (last && need > 1) {
            s.problem("need", need + " at the last tier, expected 1: one attempt there is one attempt");
            need = 1;
        }
        if (need > attempts) {
            s.problem("need", need + " is more than attempts, which is " + attempts);
        }
        BudgetSettings settings = new BudgetSettings(
                attempts,
                s.duration("remaining", 10_000, 1, Section.HOUR_MS),
                s.number("worth", 1_000, 0, 1e6),
                Math.min(attempts, s.integer("unknown", 1, 0, attempts)),
                s.integer("calls", 1, 1, 1_000),
                need,
                last,
                s.duration("margin", 5, 0, 60_000),
                s.duration("wire", 1, 0, 60_000),
                s.number("kept", 0.5, 0, 0.9),
                s.integer("reentries", 0, 0, Budget.MAX_HOPS - 1),
                s.integer("open", 20_000, 1, 1_000_000));
        // Off by default: the decision module already sheds load, and both together reject too many requests.
        boolean shedsLoad = s.flag("shed", false);
        LoadShedder.Settings loadShedding =
                new LoadShedder.Settings(s.number("floor", 0.1, 0, 1), s.number("share", 1, 0.001, 1));
        Map<String, String> keys = new LinkedHashMap<>();
        for (String[] key : s.sections("key", 8, k -> new String[] {k.name("name", null), k.text("file", null)})) {
            if (key[1] == null) {
                s.problem("key", "has no file, expected the file of its secret");
            } else if (key[0] != null && keys.put(key[0], key[1]) != null) {
                s.problem("key", Section.quote(key[0]) + " is listed twice");
            }
        }
        s.reportUnknownKeys();
        return new BudgetPart(service, entry, settings, shedsLoad ? loadShedding : null, keys);
    }
}
