package sablehinge.cistern;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which data-plane balancers there are, and what is beside them: what they last told the one who keeps the
 * roll. It is not agreed upon and on no disk, since each of them tells it anew to whoever keeps it next. Each
 * entry has the stamp of its last change, so that who knows all up to a stamp is told what came after. Who is
 * ruled off is told as not ready until it tells of itself again.
 */
public final class Roll {

    private final double goneAfter;
    private final double completeAfter;
    private final Map<String, Row> rows = new HashMap<>();
    private long stamp;
    private double beganAt = Double.NaN;

    private static final class Row {
        Intake intake;
        long stamp;
        double heardAt;
        boolean off;

        Intake told() {
            return off ? new Intake(intake.node(), intake.zone(), intake.inbound(), intake.service(),
                    intake.upstream(), false, intake.berths(), intake.coldMs()) : intake;
        }
    }

    /**
     * An empty roll.
     *
     * @param completeAfter ms after its beginning until which whoever lives has told of itself
     * @param goneAfter ms without a word after which one counts as gone
     */
    public Roll(double completeAfter, double goneAfter) {
        this.completeAfter = completeAfter;
        this.goneAfter = goneAfter;
    }

    /** Forgets all, and is kept anew from now on. */
    public void begin(double now) {
        rows.clear();
        stamp = 0;
        beganAt = now;
    }

    /** A balancer tells of itself; true if that is news. */
    public boolean told(double now, Intake intake) {
        Row row = rows.computeIfAbsent(intake.node(), node -> new Row());
        row.heardAt = now;
        boolean news = row.off || row.intake == null || !sameBut(row.intake, intake);
        row.off = false;
        if (news) {
            row.intake = intake;
            row.stamp = ++stamp;
        }
        return news;
    }

    /** How long it stays cold passes by itself, and is no news. */
    private static boolean sameBut(Intake one, Intake other) {
        return one.upstream().equals(other.upstream()) && one.ready() == other.ready()
                && one.inbound().equals(other.inbound()) && one.service().equals(other.service())
                && one.berths() == other.berths() && one.zone().equals(other.zone());
    }

    /** Others hear one that tells nothing here: it stays, as they know it where it never told anything. */
    public void vouched(double now, Intake intake) {
        Row row = rows.computeIfAbsent(intake.node(), node -> new Row());
        row.heardAt = now;
        if (row.intake == null) {
            row.intake = intake;
            row.stamp = ++stamp;
        }
    }

    /** Whether nothing new is to be sent to one on the roll, whatever it told of itself. */
    public void rule(String node, boolean off) {
        Row row = rows.get(node);
        if (row != null && row.off != off) {
            row.off = off;
            row.stamp = ++stamp;
        }
    }

    /** Those whose upstream is known, as they told of themselves. */
    public List<Intake> present() {
        List<Intake> present = new ArrayList<>(rows.size());
        for (Row row : rows.values()) {
            if (!row.intake.upstream().isEmpty()) {
                present.add(row.intake);
            }
        }
        return present;
    }

    /** Strikes out who has long said nothing; true if there was one. */
    public boolean expire(double now) {
        boolean news = false;
        for (Row row : rows.values()) {
            Intake known = row.intake;
            if (now - row.heardAt > goneAfter && !known.upstream().isEmpty()) {
                row.intake = new Intake(known.node(), known.zone(), known.inbound(), known.service(), "",
                        false, 0, 0);
                row.stamp = ++stamp;
                news = true;
            }
        }
        rows.values().removeIf(row -> now - row.heardAt > 4 * goneAfter);
        return news;
    }

    /** The stamp of the last change. */
    public long stamp() {
        return stamp;
    }

    /** Whether everyone who lives has had the time to tell of itself: who is not on it is gone. */
    public boolean isComplete(double now) {
        return now - beganAt >= completeAfter;
    }

    /** What changed after a stamp, in the order of the changes. */
    public List<Intake> since(long known) {
        List<Row> later = new ArrayList<>();
        for (Row row : rows.values()) {
            if (row.stamp > known) {
                later.add(row);
            }
        }
        later.sort(Comparator.comparingLong(row -> row.stamp));
        List<Intake> news = new ArrayList<>(later.size());
        later.forEach(row -> news.add(row.told()));
        return news;
    }

    /**
     * A balancer that is on the roll.
     *
     * @param silentMs since it last told of itself
     * @param gone whether that is so long that it counts as gone
     */
    public record Line(Intake intake, double silentMs, boolean gone) { }

    /** All that is on the roll, in the order of the nodes' names. */
    public List<Line> lines(double now) {
        List<Line> lines = new ArrayList<>(rows.size());
        rows.values().forEach(row -> lines.add(new Line(row.intake, now - row.heardAt,
                now - row.heardAt > goneAfter)));
        lines.sort(Comparator.comparing(line -> line.intake().node()));
        return lines;
    }

    /** Balancers that were heard of lately. */
    public int size() {
        int alive = 0;
        for (Row row : rows.values()) {
            alive += row.intake.upstream().isEmpty() ? 0 : 1;
        }
        return Math.max(1, alive);
    }
}
