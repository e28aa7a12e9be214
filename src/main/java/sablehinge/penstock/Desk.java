package sablehinge.penstock;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sablehinge.cistern.Intake;
import sablehinge.cistern.Roll;
import sablehinge.gauge.Health;
import sablehinge.gauge.Panel;

/**
 * Answers data-plane balancers that ask for news: at once where there is some, and after a while where there
 * is none. It decides when and with what; whoever leads the core keeps one.
 *
 * @param <K> what names an asker's connection
 */
public final class Desk<K> {

    /** How long an ask without news is held, in ms. */
    private static final double HELD_MS = 400;
    /** How often it is ruled on who is off, in ms. */
    private static final double JUDGE_MS = 40;
    private static final byte[] NONE = new byte[0];

    private final Roll roll;
    private final Panel panel = new Panel();
    private final Map<K, Asker> askers = new LinkedHashMap<>();
    private final List<Panel.Ruling> rulings = new ArrayList<>();
    private double judgedAt = Double.NEGATIVE_INFINITY;
    private long term;
    private long edition;
    private byte[] body = NONE;
    private List<String> core = List.of();

    private static final class Asker {
        Ask ask;
        double askedAt;
        boolean waits;
        boolean confirmed;
        boolean toldComplete;
    }

    /** An answer for whoever asked. */
    public record Told<K>(K to, News news) { }

    /** A desk over a roll, which it keeps up. */
    public Desk(Roll roll) {
        this.roll = roll;
    }

    /** Begins to answer as the leader of a term; the configuration is what is committed. */
    public void begin(double now, long asLeaderOf) {
        term = asLeaderOf;
        askers.clear();
        roll.begin(now);
        panel.begin(now);
    }

    /** The committed configuration, and where the members of the core take records. */
    public void holds(long newest, byte[] newestBody, List<String> members) {
        edition = newest;
        body = newestBody;
        core = List.copyOf(members);
    }

    /** An ask has come; its confirmation, if it wants one, is told by {@link #confirmed}. */
    public void asked(double now, K from, Ask ask) {
        Asker asker = askers.computeIfAbsent(from, key -> new Asker());
        asker.ask = ask;
        asker.askedAt = now;
        asker.waits = true;
        asker.confirmed = false;
        roll.told(now, ask.intake());
        ask.vouched().forEach(intake -> roll.vouched(now, intake));
        panel.heard(now, ask.intake().node(), ask.accusations());
    }

    /** All that was committed before an ask came is in {@link #holds} by now. */
    public void confirmed(K asker, int number) {
        Asker one = askers.get(asker);
        if (one != null && one.ask.number() == number) {
            one.confirmed = true;
        }
    }

    /** An asker has gone. */
    public void gone(K asker) {
        askers.remove(asker);
    }

    /** Who is to be told elsewhere, as this one answers no more. */
    public Collection<K> askers() {
        return List.copyOf(askers.keySet());
    }

    /** The answers that are due. */
    public List<Told<K>> due(double now) {
        if (now - judgedAt >= JUDGE_MS) {
            judgedAt = now;
            judge(now);
        }
        roll.expire(now);
        List<Told<K>> due = new ArrayList<>();
        for (Map.Entry<K, Asker> entry : askers.entrySet()) {
            Asker asker = entry.getValue();
            if (asker.waits) {
                News news = news(now, asker);
                if (news != null) {
                    due.add(new Told<>(entry.getKey(), news));
                }
            }
        }
        return due;
    }

    private void judge(double now) {
        List<Panel.Subject> subjects = new ArrayList<>();
        List<Intake> present = roll.present();
        present.forEach(intake -> subjects.add(new Panel.Subject(intake.node(), intake.zone(),
                intake.service(), intake.ready())));
        List<Panel.Ruling> changed = panel.judge(now, subjects);
        changed.forEach(ruling -> roll.rule(ruling.node(), ruling.health().isOff()));
        for (Intake intake : present) {
            if (panel.health(intake.node()) == Health.CUT_FROM_CORE) {
                roll.vouched(now, intake);
            }
        }
        rulings.addAll(changed);
    }

    /** What has changed of who is heard, since this was asked last. */
    public List<Panel.Ruling> rulings() {
        List<Panel.Ruling> latest = List.copyOf(rulings);
        rulings.clear();
        return latest;
    }

    private News news(double now, Asker asker) {
        Ask ask = asker.ask;
        boolean complete = roll.isComplete(now);
        boolean whole = ask.term() != term || complete && !asker.toldComplete;
        boolean newer = ask.edition() < edition;
        boolean changed = whole || ask.stamp() < roll.stamp();
        boolean held = now - asker.askedAt < HELD_MS;
        if (ask.confirm() && !asker.confirmed || !newer && !changed && !ask.confirm() && held) {
            return null;
        }
        asker.waits = false;
        asker.toldComplete |= complete;
        return new News(ask.number(), asker.confirmed, edition, newer ? body : NONE, term, roll.stamp(),
                whole, complete, roll.size(), changed ? roll.since(whole ? 0 : ask.stamp()) : List.of(),
                core);
    }
}
