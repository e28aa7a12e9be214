"""The kinds of trouble that `bench/run any-days` draws from, with their variants and ranges.

The names and fields are those that `fleetbench kinds SITE` lists; a day's file takes them as they stand here.
Times are in seconds. An entry stands under `plan` if it is planned work or a change of the configuration, under
`faults` otherwise.
"""
from dataclasses import dataclass, field

POINTS = ("isolated-control", "concurrent-operators", "second-loss", "hundreds-of-changes", "repeat-safety")

# Which machine of several is meant, and what may be added to that.
CORE_TARGETS = ("", "leader", "reader", "turn", "seed")
CORE_ADDITIONS = ("meet", "race", "hard", "drain")


@dataclass(frozen=True)
class Whole:
    """A whole number of this range; drawn as such, ends included."""

    least: int
    most: int


@dataclass(frozen=True)
class Kind:
    """One kind of trouble: where it stands, how often it is drawn for each point, its variants and its fields."""

    name: str
    weights: tuple[int, int, int, int, int]
    planned: bool = False
    # Variants; each entry takes one.
    hows: tuple[str, ...] = ("",)
    # Words that may be added to the variant, two at most.
    additions: tuple[str, ...] = ()
    # Ranges of numbers: (least, most), or Whole.
    ranges: dict = field(default_factory=dict)
    # Fields that are always the same.
    fixed: dict = field(default_factory=dict)


CORE = {"on": "core", "count": 1}

KINDS = (
    # The core's machines and what connects them.
    Kind("core_cut", (9, 3, 3, 2, 1),
         hows=("", "leader", "reader", "turn", "seed", "all", "near", "oldest", "one_way", "seeds", "both", "lure",
               "leader all", "leader one_way", "leader reset", "leader refuse", "leader near", "reader one_way",
               "seeds all", "leader lure", "leader both"),
         additions=("meet", "race", "hard"), ranges={"for_s": (2.0, 20.0)}, fixed={"count": 1}),
    Kind("node_kill", (2, 6, 4, 4, 1), hows=CORE_TARGETS + ("power", "power leader", "power reader", "power seed"),
         additions=CORE_ADDITIONS, ranges={"for_s": (0.5, 12.0)}, fixed=CORE),
    Kind("node_freeze", (5, 3, 1, 1, 1), hows=CORE_TARGETS, additions=CORE_ADDITIONS, ranges={"for_s": (1.0, 12.0)},
         fixed=CORE),
    Kind("node_slow", (3, 2, 1, 2, 1), hows=CORE_TARGETS, additions=("meet",),
         ranges={"for_s": (3.0, 12.0), "x": (3.0, 15.0)}, fixed=CORE),
    Kind("herd_kill", (2, 4, 2, 3, 1), hows=("", "power", "taken", "taken all"),
         ranges={"for_s": (0.5, 3.0), "share": (0.4, 1.0)}, fixed={"on": "core"}),
    Kind("after_ack_kill", (2, 6, 4, 3, 2), hows=("", "kill", "timed", "taken", "taken gone", "kill timed"),
         ranges={"for_s": (0.5, 8.0)}),
    Kind("after_ack_wipe", (1, 2, 7, 3, 1), hows=("", "timed", "taken", "oldest", "oldest timed"),
         ranges={"for_s": (0.5, 9.0)}),
    Kind("replace_core", (2, 2, 7, 4, 1), hows=("", "planned", "oldest", "seed", "leader", "planned oldest"),
         ranges={"x": (0.5, 9.0)}),
    Kind("disk_slow", (1, 2, 2, 4, 1), hows=CORE_TARGETS, ranges={"for_s": (3.0, 15.0), "x": (10.0, 100.0)},
         fixed={"count": 1}),
    Kind("disk_stall", (3, 3, 2, 3, 1), hows=CORE_TARGETS, ranges={"for_s": (1.0, 12.0)}, fixed={"count": 1}),
    Kind("disk_full", (2, 3, 3, 4, 1), hows=CORE_TARGETS, ranges={"for_s": (2.0, 15.0)}, fixed={"count": 1}),
    Kind("roll_term", (1, 2, 2, 3, 1), planned=True, hows=("", "busy"), ranges={"gap_s": (0.5, 6.0)},
         fixed={"on": "core", "x": 1.0}),
    # All machines, and the sidecars.
    Kind("clock_step", (4, 2, 1, 1, 1), hows=("", "back", "ahead"),
         ranges={"share": (0.2, 1.0), "x": Whole(500, 15000), "for_s": (2.0, 20.0)}),
    Kind("seed_turnover", (4, 1, 3, 1, 1)),
    Kind("reset_conns", (3, 3, 1, 2, 4), ranges={"share": (0.1, 1.0), "x": (0.2, 1.0)}),
    Kind("node_cut", (4, 1, 1, 1, 3), hows=("", "all", "servers"),
         ranges={"share": (0.1, 0.4), "for_s": (2.0, 20.0)}),
    Kind("hup", (1, 1, 1, 1, 2), planned=True, ranges={"share": (0.3, 1.0), "gap_s": (0.5, 4.0)}),
    Kind("roll_term", (1, 1, 1, 1, 3), planned=True, hows=("", "busy"),
         ranges={"share": (0.2, 0.6), "gap_s": (0.8, 3.0)}, fixed={"on": "side", "x": 1.0}),
    Kind("node_freeze", (1, 0, 0, 1, 3), ranges={"share": (0.1, 0.3), "for_s": (1.0, 8.0)}, fixed={"on": "side"}),
    Kind("node_slow", (1, 0, 0, 1, 2), ranges={"share": (0.1, 0.3), "x": (2.0, 8.0), "for_s": (2.0, 8.0)},
         fixed={"on": "side"}),
    Kind("node_kill", (1, 0, 0, 1, 3), hows=("", "power"), ranges={"share": (0.1, 0.3), "for_s": (0.5, 6.0)},
         fixed={"on": "side"}),
    # The operators.
    Kind("config_change", (2, 2, 1, 1, 1), planned=True,
         hows=("route", "weights", "timeout", "tenant", "quota", "idle")),
    Kind("config_storm", (2, 3, 2, 6, 1), planned=True, hows=("", "route", "weights", "tenant", "quota"),
         ranges={"for_s": (2.0, 12.0), "gap_s": (0.08, 1.0)}),
    Kind("config_race", (4, 8, 2, 3, 1), planned=True, ranges={"count": Whole(1, 8), "gap_s": (0.05, 2.0)}),
    Kind("big_config", (1, 2, 1, 4, 1), planned=True, ranges={"count": Whole(50, 500)}),
    Kind("bad_config", (2, 5, 1, 2, 1), planned=True,
         hows=("cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
               "same_version", "stale_match", "shared_key"),
         ranges={"count": Whole(1, 5), "gap_s": (0.1, 2.0)}),
    Kind("revoke", (3, 3, 1, 2, 2), planned=True, ranges={"count": Whole(1, 4), "gap_s": (0.2, 2.0)}),
    Kind("ack_lost", (2, 4, 2, 3, 1), ranges={"x": (0.3, 0.9), "for_s": (4.0, 20.0)}),
    # The upstreams and the clients.
    Kind("scale_in", (2, 2, 2, 1, 2), planned=True, hows=("", "", "spot"), ranges={"share": (0.08, 0.2)}),
    Kind("scale_out", (1, 1, 1, 1, 2), planned=True, ranges={"share": (0.1, 0.3), "gap_s": (0.2, 2.0)}),
    Kind("release", (1, 1, 1, 1, 2), planned=True, ranges={"share": (0.2, 0.5), "gap_s": (0.8, 2.0)},
         fixed={"x": 1.0}),
    Kind("srv_crash", (1, 1, 1, 1, 4), hows=("", "dark", "gone"), ranges={"share": (0.1, 0.2), "for_s": (1.0, 6.0)}),
    Kind("srv_slow", (1, 0, 0, 1, 2), ranges={"share": (0.1, 0.3), "x": (2.0, 5.0), "for_s": (2.0, 6.0)}),
    Kind("replace_with_reuse", (1, 1, 1, 1, 4), hows=("", "drain", "dark"), ranges={"share": (0.1, 0.2)}),
    Kind("answer_lost", (1, 0, 0, 0, 6), hows=("", "reset"),
         ranges={"share": (0.3, 0.6), "x": (0.02, 0.06), "for_s": (2.0, 8.0)}),
    Kind("garble", (1, 0, 0, 0, 6), hows=("", "extra", "unframed", "early", "extra late"),
         ranges={"share": (0.3, 0.6), "x": (0.02, 0.05), "for_s": (2.0, 8.0)}),
    Kind("give_up", (0, 0, 0, 0, 3), ranges={"share": (0.1, 0.4), "for_s": (2.0, 6.0)}),
    Kind("retry_abuse", (0, 0, 0, 1, 3), ranges={"share": (0.1, 0.3), "x": (1.0, 3.0), "for_s": (2.0, 5.0)}),
    Kind("burst", (1, 1, 0, 1, 1), ranges={"x": (1.2, 2.0), "for_s": (2.0, 5.0)}),
)

# Kinds that only the grown sites list.
GROWN_KINDS = (
    Kind("idle_race", (1, 0, 0, 0, 4), ranges={"share": (0.3, 0.6), "x": Whole(100, 500), "for_s": (2.0, 8.0)}),
    Kind("srv_flap", (1, 0, 0, 0, 3), ranges={"share": (0.1, 0.2), "gap_s": (0.5, 2.0), "for_s": (3.0, 8.0)}),
    Kind("srv_grey", (1, 0, 0, 0, 4), hows=("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
         ranges={"share": (0.1, 0.2), "x": (0.2, 0.5), "for_s": (2.0, 8.0)}),
    Kind("srv_lying_health", (1, 0, 0, 0, 3), hows=("errors", "hang", "reset", "bad"),
         ranges={"share": (0.1, 0.2), "for_s": (2.0, 8.0)}),
)

CLOSINGS = (
    ("power_off_all", ""), ("power_off_all", "timed"), ("power_off_all", "taken"),
    ("kill_all", ""), ("kill_all", "timed"), ("kill_all", "taken"),
    ("wipe_after_ack", ""), ("wipe_after_ack", "aimed"), ("wipe_after_ack", "timed"),
    ("wipe_after_ack", "taken"), ("wipe_after_ack", "oldest"),
)
