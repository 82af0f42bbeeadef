"""List the troubles that are played, in pairs, each twice on its day."""

from typing import Any, NamedTuple

FIRST_SECOND, AGAIN_SECOND = 4.0, 17.0
STAGGER_SECONDS = 1.5
"""Time by which the second of a pair follows the first, so that they overlap."""

Trouble = dict[str, Any]


class Day(NamedTuple):
    """Be one day: planned work, faults, and perhaps a last fault at its end."""

    name: str
    plan: tuple[Trouble, ...] = ()
    faults: tuple[Trouble, ...] = ()
    closing: Trouble | None = None


def trouble(kind: str, how: str = "", **fields: Any) -> Trouble:
    """Write one trouble."""
    written: Trouble = {"kind": kind, **fields}
    return written | {"how": how} if how else written


CHANGE = trouble("config_change", "route")
SHED = trouble("srv_grey", "shed", share=0.3, x=0.5, for_s=5.0)

DAYS = (
    Day(
        "slow-and-cut-upstreams",
        faults=(
            trouble("srv_slow", share=0.2, x=4.0, for_s=6.0),
            trouble("srv_cut", share=0.2, for_s=5.0),
        ),
    ),
    Day(
        "one-way-and-reset-upstreams",
        faults=(
            trouble("srv_cut", "one_way", share=0.2, for_s=5.0),
            trouble("srv_cut", "reset", share=0.2, for_s=5.0),
        ),
    ),
    Day(
        "reborn-upstreams-and-late-heartbeats",
        faults=(
            trouble("srv_cut", "reborn", share=0.2, for_s=4.0),
            trouble("srv_cut", "some", share=0.2, x=0.3, for_s=5.0),
        ),
    ),
    Day(
        "hanging-and-slow-while-healthy",
        faults=(
            trouble("srv_grey", "hang", share=0.2, x=0.4, for_s=6.0),
            trouble("srv_grey", "slow", share=0.2, x=8.0, for_s=6.0),
        ),
    ),
    Day(
        "mute-and-resetting-while-healthy",
        faults=(
            trouble("srv_grey", "mute", share=0.2, x=0.4, for_s=6.0),
            trouble("srv_grey", "reset", share=0.2, x=0.4, for_s=6.0),
        ),
    ),
    Day(
        "addresses-used-again",
        faults=(
            trouble("replace_with_reuse", share=0.15),
            trouble("replace_with_reuse", "dark", share=0.15),
        ),
    ),
    Day(
        "drained-addresses-used-again-and-more-upstreams",
        plan=(trouble("scale_out", share=0.3, gap_s=3.0),),
        faults=(trouble("replace_with_reuse", "drain", share=0.15),),
    ),
    Day(
        "upstreams-gone-and-dark",
        faults=(
            trouble("srv_crash", "gone", share=0.15, for_s=5.0),
            trouble("srv_crash", "dark", share=0.15, for_s=5.0),
        ),
    ),
    Day(
        "spoilt-and-second-answers",
        faults=(
            trouble("garble", "extra late", share=0.5, x=0.05, for_s=6.0),
            trouble("garble", "unframed", share=0.5, x=0.05, for_s=6.0),
        ),
    ),
    Day(
        "early-answers-and-lost-ones",
        faults=(
            trouble("garble", "early", share=0.5, x=0.05, for_s=6.0),
            trouble("answer_lost", "reset", share=0.5, x=0.05, for_s=6.0),
        ),
    ),
    Day(
        "releases-and-shedding",
        plan=(trouble("release", share=0.5, x=2.0, gap_s=1.0),),
        faults=(SHED,),
    ),
    Day(
        "orders-late-and-scale-in",
        plan=(trouble("scale_in", share=0.15),),
        faults=(trouble("applied_late", x=0.4, for_s=6.0),),
    ),
    Day(
        "power-and-kill",
        faults=(
            trouble("node_kill", "power", share=0.2, for_s=3.0),
            trouble("node_kill", share=0.2),
        ),
    ),
    Day(
        "frozen-leader-and-slow-machines",
        faults=(
            trouble("node_freeze", "leader", on="core", count=1, for_s=3.0),
            trouble("node_slow", share=0.2, x=5.0, for_s=5.0),
        ),
    ),
    Day(
        "planned-restarts-of-the-leader-while-upstreams-leave",
        plan=(trouble("roll_term", "leader drain", share=0.5, x=1.0, gap_s=1.3),),
    ),
    Day(
        "busy-restarts-and-changes",
        plan=(trouble("roll_term", "busy", gap_s=1.0), CHANGE),
    ),
    Day(
        "all-of-the-core-killed",
        faults=(
            trouble("herd_kill", on="core"),
            trouble("herd_kill", share=0.6),
        ),
    ),
    Day(
        "clocks-and-reset-connections",
        faults=(
            trouble("clock_step", share=0.4, x=5000, for_s=4.0),
            trouble("reset_conns", share=0.3, x=0.5),
        ),
    ),
    Day(
        "clocks-back-and-losses",
        faults=(
            trouble("clock_step", "back", share=0.4, x=5000, for_s=4.0),
            trouble("lossy", x=0.04, for_s=5.0),
        ),
    ),
    Day(
        "machines-cut-from-all-and-from-upstreams",
        faults=(
            trouble("node_cut", "all", share=0.15, for_s=4.0),
            trouble("node_cut", "servers", share=0.3, for_s=4.0),
        ),
    ),
    Day(
        "core-split-and-one-way",
        faults=(
            trouble("core_cut", "split", for_s=4.0),
            trouble("core_cut", "one_way", count=1, for_s=4.0),
        ),
    ),
    Day("core-behind", faults=(trouble("core_cut", "behind", count=1, for_s=4.0),)),
    Day(
        "core-both-and-lure",
        faults=(
            trouble("core_cut", "both", count=1, for_s=4.0),
            trouble("core_cut", "lure", count=1, for_s=4.0),
        ),
    ),
    Day(
        "core-relieve-and-seeds",
        faults=(
            trouble("core_cut", "relieve", count=1, for_s=4.0),
            trouble("core_cut", "seeds", count=1, for_s=4.0),
        ),
    ),
    Day(
        "core-replaced",
        plan=(
            trouble("replace_core", "planned", x=2.0),
            trouble("seed_turnover"),
        ),
        faults=(trouble("replace_core", "oldest", x=1.0),),
    ),
    Day(
        "killed-after-an-acknowledgement",
        faults=(
            trouble("after_ack_kill", "timed", count=1, for_s=2.0),
            trouble("after_ack_kill", "taken", count=1, for_s=2.0),
        ),
    ),
    Day(
        "wiped-after-an-acknowledgement",
        faults=(trouble("after_ack_wipe", "oldest", for_s=2.0),),
    ),
    Day(
        "disks-full-and-slow",
        faults=(
            trouble("disk_full", count=1, for_s=4.0),
            trouble("disk_slow", "leader", count=1, x=30.0, for_s=4.0),
        ),
    ),
    Day(
        "disks-that-stall",
        faults=(trouble("disk_stall", "leader", count=1, for_s=4.0),),
    ),
    Day(
        "operators-race-and-repeat",
        plan=(
            trouble("config_race", count=3, gap_s=1.2),
            trouble("config_storm", gap_s=0.3, for_s=4.0),
            trouble("bad_config", count=4, gap_s=0.7),
        ),
        faults=(trouble("ack_lost", x=0.7, for_s=8.0),),
    ),
    Day(
        "keys-and-timeouts-change",
        plan=(
            trouble("revoke", "last", count=2, gap_s=1.0),
            trouble("config_change", "timeout"),
            trouble("config_change", "weights"),
            trouble("hup", share=0.5, gap_s=2.0),
        ),
    ),
    Day(
        "callers-press",
        faults=(
            trouble("retry_abuse", x=3.0, share=0.3, for_s=5.0),
            trouble("give_up", share=0.3, for_s=5.0),
            trouble("hot_key", share=0.3, for_s=5.0),
        ),
    ),
    Day("wiped-at-the-end", closing=trouble("wipe_after_ack", "timed all", down_s=1.2)),
    Day(
        "oldest-wiped-at-the-end",
        closing=trouble("wipe_after_ack", "oldest", down_s=1.2),
    ),
    Day("all-power-lost-at-the-end", closing=trouble("power_off_all", down_s=1.5)),
)
