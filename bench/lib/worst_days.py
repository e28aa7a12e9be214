"""Plays the scripted days of `bench/days` with the mesh's own bench and sums up what broke.

The bench is no part of this repository: FLEETBENCH names its program, SITES the folders of the site files,
separated by colons (a day `NAME-SITE.toml` is played on `SITE.toml` of the first folder that holds it). A play
takes one to some minutes. The last line is one JSON object: days, broken (a rule or a fault), failed_gate (the
broken ones among them), unplayed.
"""
import argparse
import json
import os
import re
import subprocess
import sys
import time
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
DAYS = ROOT / "bench" / "days"
SNAPSHOT = re.compile(r"^snapshot (?P<id>[0-9a-f]+)$", re.MULTILINE)


@dataclass(frozen=True)
class Play:
    """One day of one site with one seed."""

    kind: str
    site: str
    file: Path
    seed: int


@dataclass(frozen=True)
class Outcome:
    """What the bench's journal says of a play; `short` is what it lacks for the gate, in its words."""

    play: Play
    played: bool
    passed: bool = False
    score: float = 0.0
    served: float = 0.0
    rules: dict[str, int] | None = None
    fault: str | None = None
    short: tuple[str, ...] = ()

    def broken(self):
        return bool(self.rules or self.fault)

    def verdict(self):
        if not self.played:
            return "not played"
        if self.broken():
            return "BROKEN"
        return "passed" if self.passed else "short of the gate"

    def details(self):
        rules = ["%s: %d" % rule for rule in sorted((self.rules or {}).items())]
        return rules + [line for line in self.short]


def site_file(site, folders):
    """The site's file in the first of the folders that holds it; ends the program if none does."""
    for folder in folders:
        path = Path(folder) / (site + ".toml")
        if path.is_file():
            return path
    sys.exit("no %s.toml in %s" % (site, ":".join(folders)))


def outcome(play, report):
    """What the journal entry that the report names says of the play."""
    snapshot = SNAPSHOT.search(report)
    entries = list((ROOT / "journal").glob("*-%s.json" % snapshot["id"])) if snapshot else []
    days = json.loads(entries[0].read_text()).get("days") if entries else None
    if not days:
        return Outcome(play, played=False, short=tuple(report.splitlines()[-1:]))
    day = days[0]
    return Outcome(play, True, bool(day.get("gate")), day.get("score") or 0.0, day.get("served") or 0.0,
                   day.get("rules"), day.get("fault"), tuple(day.get("short") or ()))


def run(bench, site, play, reports, reason="worst days"):
    """Plays one day; keeps the whole report if a folder for reports is given."""
    why = "%s: %s, seed %d" % (reason, play.file.stem, play.seed)
    command = [bench, "run", str(site), str(play.file), "--seed", str(play.seed), "--jobs", "1", "--why", why]
    done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
    if reports:
        (reports / ("%s-%d.txt" % (play.file.stem, play.seed))).write_text(done.stdout)
    return outcome(play, done.stdout)


def scripted(path, seed):
    """The play of a file named by its day and its site; the day may stand under [[day]] or by itself."""
    content = tomllib.loads(path.read_text())
    kind = content.get("day", [content])[0]["name"]
    return Play(kind, path.stem.removeprefix(kind + "-"), path, seed)


def plays(kinds, sites, seeds):
    """The plays asked for, small sites first, one seed of all days before the next seed."""
    every = [scripted(path, seed) for seed in seeds for path in sorted(DAYS.glob("*.toml"))]
    chosen = [play for play in every
              if (not kinds or play.kind in kinds) and (not sites or play.site in sites)]
    return sorted(chosen, key=lambda play: (play.site.endswith("-grown"), seeds.index(play.seed)))


def main():
    parser = argparse.ArgumentParser(prog="bench/run worst-days", description=__doc__.splitlines()[0])
    parser.add_argument("seeds", nargs="*", type=int, default=[1, 2, 3], help="seeds (1 2 3)")
    parser.add_argument("--day", action="append", help="only this kind of day; may be given again")
    parser.add_argument("--site", action="append", help="only this site; may be given again")
    parser.add_argument("--jobs", type=int, default=1, help="plays at the same time (1)")
    parser.add_argument("--reports", type=Path, help="a folder for the whole reports")
    options = parser.parse_args()
    bench, folders = os.environ.get("FLEETBENCH"), os.environ.get("SITES", "").split(":")
    if not bench or not folders[0]:
        sys.exit("FLEETBENCH has to name the bench's program and SITES the folders of the site files")
    if options.reports:
        options.reports.mkdir(parents=True, exist_ok=True)
    todo = plays(options.day, options.site, options.seeds)
    site_files = {play.site: site_file(play.site, folders) for play in todo}
    outcomes = []

    def step(play):
        start = time.monotonic()
        result = run(bench, site_files[play.site], play, options.reports)
        outcomes.append(result)
        print("%d of %d: %s, seed %d: %s after %.0f s" % (len(outcomes), len(todo), play.file.stem, play.seed,
                                                          result.verdict(), time.monotonic() - start),
              file=sys.stderr, flush=True)
        return result

    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(step, todo))
    report(results)
    return 0 if all(result.verdict() == "passed" for result in results) else 1


def report(results):
    """The table, under each day what it broke or lacked, then the JSON line."""
    print("%-18s %-22s %4s %6s %6s  %s" % ("site", "day", "seed", "score", "served", "verdict"))
    for result in results:
        play = result.play
        print("%-18s %-22s %4d %6.3f %6.3f  %s" % (play.site, play.kind, play.seed, result.score, result.served,
                                                   result.verdict()))
        for line in result.details():
            print("    " + line)
    verdicts = [result.verdict() for result in results]
    print(json.dumps({"days": len(results), "broken": verdicts.count("BROKEN"),
                      "failed_gate": verdicts.count("BROKEN") + verdicts.count("short of the gate"),
                      "unplayed": verdicts.count("not played")}))


if __name__ == "__main__":
    sys.exit(main())
