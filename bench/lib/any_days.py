"""Draws days from all kinds of trouble of the mesh's own bench, plays them and sums up what broke.

A day is drawn by the site's name, a point and a seed alone: the same three always give the same file. It holds
troubles of every kind, most of them of the sort that its point weighs most, several under way at once and many of
them more than once; changes of the configuration run beside them for most of the day, and two days in three end with
a closing fault. A quarter of the days are long (60 to 110 s of traffic).

FLEETBENCH names the bench's program and SITES the folders of the site files, as for `bench/run worst-days`. The file
of a day that broke a rule or fell short of the gate is kept in `bench/days/found`. The last line is one JSON object:
days, broken (a rule or a fault), failed_gate (the broken ones among them), unplayed, own_ends (days on which a process
ended by itself), duties (days on which a valid order was never acknowledged).
"""
import argparse
import json
import os
import random
import re
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from day_kinds import CLOSINGS, GROWN_KINDS, KINDS, POINTS, Whole
from worst_days import DAYS, ROOT, Outcome, Play, run, site_file

FOUND = DAYS / "found"
REPEATED_SHARE = 0.3
LONG_SHARE = 0.25
PLANNED_LATEST_S = 3.0
# How long a machine of the core counts as lost beyond its trouble; and what such troubles may take of a day together
# (over 1, as some wait their turn).
RETURN_S = 4.0
CORE_SHARE = 1.1
CORE_KINDS = {"core_cut", "node_kill", "node_freeze", "node_slow", "after_ack_kill", "after_ack_wipe", "replace_core",
              "disk_slow", "disk_stall", "disk_full", "herd_kill", "roll_term"}
COUNTED = {"own_ends": re.compile(r"\s([\d.]+) exits of its own"), "duties": re.compile(r"\s([\d.]+) duties missed")}


@dataclass(frozen=True)
class Entry:
    """One trouble of a day, ready to be written down."""

    kind: str
    planned: bool
    fields: dict


@dataclass(frozen=True)
class Rhythm:
    """How troubles follow: after `pause_s` on average, or, for a share of them, after a calm of `calm_s`."""

    pause_s: float
    calm_share: float = 0.0
    calm_s: tuple[float, float] = (0.0, 0.0)


# Without a break; a few at once, then calm for long enough that the rules bind again; widely apart.
RHYTHMS = (Rhythm(0.5), Rhythm(1.2), Rhythm(0.3, 0.25, (4.0, 9.0)), Rhythm(0.8, 0.35, (4.0, 12.0)),
           Rhythm(2.0, 0.3, (6.0, 12.0)))


@dataclass(frozen=True)
class Placed:
    """An entry and the second of the day at which it comes."""

    at: float
    entry: Entry

    def line(self):
        fields = "".join(", %s = %s" % (name, json.dumps(value)) for name, value in self.entry.fields.items())
        return "  { at = %.2f, kind = %s%s }," % (self.at, json.dumps(self.entry.kind), fields)


def number(draw, bounds):
    """A number of the range, whole where the range says so."""
    if isinstance(bounds, Whole):
        return draw.randint(bounds.least, bounds.most)
    return round(draw.uniform(*bounds), 2)


def entry(draw, kind):
    """One trouble of the kind with its variant and its numbers."""
    words = [draw.choice(kind.hows)]
    extra = draw.choice((0, 0, 1, 1, 2)) if kind.additions else 0
    words += draw.sample(kind.additions, min(extra, len(kind.additions)))
    how = " ".join(word for word in words if word)
    fields = dict(kind.fixed)
    fields.update((name, number(draw, bounds)) for name, bounds in kind.ranges.items())
    if how:
        fields["how"] = how
    return Entry(kind.name, kind.planned, fields)


def core_time(drawn):
    """Seconds for which the core is short of a machine through the entry."""
    if drawn.kind not in CORE_KINDS or drawn.fields.get("on") == "side":
        return 0.0
    return drawn.fields.get("for_s", drawn.fields.get("x", 0.0)) + RETURN_S


def troubles(draw, kinds, point, length_s):
    """The day's troubles: one after a short pause upon the other, some of them the same kind once more."""
    weights = [kind.weights[POINTS.index(point)] for kind in kinds]
    rhythm = draw.choice(RHYTHMS)
    placed, at, core_s, kind = [], draw.uniform(0.5, 3.0), 0.0, None
    while at < length_s - PLANNED_LATEST_S:
        if kind is None or draw.random() > REPEATED_SHARE:
            kind = draw.choices(kinds, weights)[0]
        drawn = entry(draw, kind)
        if core_s + core_time(drawn) <= CORE_SHARE * length_s:
            core_s += core_time(drawn)
            placed.append(Placed(round(at, 2), drawn))
        calm = draw.random() < rhythm.calm_share
        at += draw.uniform(*rhythm.calm_s) if calm else draw.expovariate(1.0 / rhythm.pause_s)
    return placed


def operators(draw, point, length_s):
    """What the operators do all day: changes one after the other, often with acknowledgements lost."""
    gaps = {"concurrent-operators": (0.2, 1.0), "hundreds-of-changes": (0.15, 0.7)}.get(point, (0.4, 3.0))
    storm = {"for_s": round(length_s - 4.0, 2), "gap_s": round(draw.uniform(*gaps), 2)}
    placed = [Placed(1.5, Entry("config_storm", True, storm))]
    if point == "hundreds-of-changes":
        placed.append(Placed(1.0, Entry("big_config", True, {"count": draw.randint(100, 480)})))
    if draw.random() < 0.6:
        lost = {"x": round(draw.uniform(0.3, 0.8), 2), "for_s": round(length_s - 5.0, 2)}
        placed.append(Placed(2.0, Entry("ack_lost", False, lost)))
    return placed


def closing(draw):
    """The line of the closing fault, or none."""
    if draw.random() < 0.35:
        return ""
    kind, how = draw.choice(CLOSINGS)
    variant = ', how = "%s"' % how if how else ""
    return 'closing = { kind = "%s", down_s = %.2f%s }\n' % (kind, draw.uniform(0.3, 2.0), variant)


def traffic(draw, site_path):
    """The site's own traffic, up to half as much again: the table of a day."""
    factor = draw.choice((0.8, 1.0, 1.2, 1.35, 1.5))
    site = tomllib.loads(site_path.read_text())
    rows = [dict(row, per_s=round(row["per_s"] * factor, 1)) for row in site["traffic"]]
    return "traffic = [\n%s\n]\n" % "\n".join("  %s," % inline(row) for row in rows)


def inline(value):
    """The value as TOML on one line."""
    if isinstance(value, dict):
        return "{ %s }" % ", ".join("%s = %s" % (key, inline(item)) for key, item in value.items())
    return json.dumps(value)


def day(site_path, point, seed):
    """The text of the day's file."""
    site = site_path.stem
    draw = random.Random("%s/%s/%d" % (site, point, seed))
    length_s = round(draw.uniform(60, 110) if draw.random() < LONG_SHARE else draw.uniform(32, 45))
    kinds = KINDS + GROWN_KINDS if site.endswith("-grown") else KINDS
    placed = operators(draw, point, length_s) + troubles(draw, kinds, point, length_s)
    placed.sort(key=lambda one: one.at)
    sections = ["%s = [\n%s\n]" % (name, "\n".join(one.line() for one in placed if one.entry.planned == planned))
                for name, planned in (("plan", True), ("faults", False))]
    head = ('[[day]]\nname = "any-%s-%d"\nslot = "trouble"\nseed = %d\nlength_s = %d\ngoal = { floor = 0.4 }\n'
            % (point, seed, seed, length_s))
    return head + closing(draw) + "\n".join(sections) + "\n" + traffic(draw, site_path)


@dataclass(frozen=True)
class Result:
    """What a play came to; the counts are those of COUNTED."""

    outcome: Outcome
    counts: dict

    def seen(self, name):
        return self.counts.get(name, 0.0) > 0

    def kept(self):
        return self.outcome.verdict() != "passed" or self.seen("own_ends") or self.seen("duties")

    def line(self):
        notes = ["%s %g" % count for count in self.counts.items() if count[1] > 0]
        play = self.outcome.play
        return "%-19s %-22s %4d %6.3f %6.3f  %s" % (play.site, play.kind, play.seed, self.outcome.score,
                                                    self.outcome.served, ", ".join([self.outcome.verdict()] + notes))


def counted(text):
    """The figures of COUNTED in a report."""
    found = ((name, pattern.search(text)) for name, pattern in COUNTED.items())
    return {name: float(match.group(1)) for name, match in found if match}


def report_path(reports, play):
    """Where `run` leaves the report of a play."""
    return reports / ("%s-%d.txt" % (play.file.stem, play.seed))


def summary(results):
    """The last line."""
    verdicts = [result.outcome.verdict() for result in results]
    return {"days": len(results), "broken": verdicts.count("BROKEN"),
            "failed_gate": verdicts.count("BROKEN") + verdicts.count("short of the gate"),
            "unplayed": verdicts.count("not played"),
            "own_ends": sum(result.seen("own_ends") for result in results),
            "duties": sum(result.seen("duties") for result in results)}


def parsed():
    """The command line."""
    parser = argparse.ArgumentParser(prog="bench/run any-days", description=__doc__.splitlines()[0])
    parser.add_argument("site", help="the site's name or the path of its file")
    parser.add_argument("--days", type=int, default=10, help="how many days, one seed each (10)")
    parser.add_argument("--seed", type=int, default=1, help="the first seed (1)")
    parser.add_argument("--focus", choices=POINTS, help="only days of this point; else all five in turn")
    parser.add_argument("--jobs", type=int, default=1, help="plays at the same time (1)")
    parser.add_argument("--reports", type=Path, help="a folder for the days' files and the whole reports")
    parser.add_argument("--why", default="days drawn from all kinds of trouble", help="a line for the journal")
    parser.add_argument("--print", action="store_true", help="print the days' files, play nothing")
    return parser.parse_args()


def drawn_plays(options):
    """The points and seeds asked for, in order."""
    for index in range(options.days):
        yield options.focus or POINTS[(options.seed + index) % len(POINTS)], options.seed + index


def written(site_path, point, seed, folder):
    """Writes the day's file into the folder and returns its play."""
    site = site_path.stem
    path = folder / ("%s-%d-%s.toml" % (point, seed, site))
    path.write_text(day(site_path, point, seed))
    return Play(point, site, path, seed)


def keep(results):
    """Copies the files of the days that call for a look; after all plays, as the bench reads the sources."""
    for result in results:
        if result.kept():
            FOUND.mkdir(exist_ok=True)
            shutil.copy(result.outcome.play.file, FOUND)


def main():
    options = parsed()
    bench, folders = os.environ.get("FLEETBENCH"), os.environ.get("SITES", "").split(":")
    if not bench or not folders[0]:
        sys.exit("FLEETBENCH has to name the bench's program and SITES the folders of the site files")
    path = site_file(Path(options.site).stem, folders)
    if options.print:
        print("\n".join(day(path, point, seed) for point, seed in drawn_plays(options)))
        return 0
    reports = options.reports or Path(tempfile.mkdtemp(prefix="any-days-"))
    reports.mkdir(parents=True, exist_ok=True)
    todo = [written(path, point, seed, reports) for point, seed in drawn_plays(options)]

    def step(play):
        start = time.monotonic()
        outcome = run(bench, path, play, reports, options.why)
        result = Result(outcome, counted(report_path(reports, play).read_text()))
        print("%s after %.0f s" % (result.line(), time.monotonic() - start), file=sys.stderr, flush=True)
        for line in outcome.details():
            print("    " + line, file=sys.stderr, flush=True)
        return result

    if subprocess.run([bench, "build"], cwd=ROOT, check=False).returncode != 0:
        sys.exit("the bench could not build")
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(step, todo))
    for result in results:
        print(result.line())
        for line in result.outcome.details():
            print("    " + line)
    keep(results)
    print(json.dumps(summary(results)))
    return 0 if not any(result.kept() for result in results) else 1


if __name__ == "__main__":
    sys.exit(main())
