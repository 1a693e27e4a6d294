#!/usr/bin/env python3
"""Generates scenarios ("days") for the users' bench, each aimed at one mechanism.

A day is generated from a seed and an aim. Each aim combines two or more faults that
one mechanism has to tolerate together; their times, strengths and accompanying faults
are random.

usage: aimed_days.py FOLDER AIM SEED [SEED ...]      AIM: a name below, or "all"
"""

import json
import random
import sys
from pathlib import Path

CHANGE_KINDS = ["route", "weights", "timeout", "idle"]
DAY_LENGTH_S = 32.0


class Day:
    """One scenario: its entries, and the random generator that they come from."""

    def __init__(self, name, seed):
        self.name = name
        self.seed = seed
        self.rng = random.Random(f"{name} {seed}")
        self.plan = []
        self.faults = []
        self.closing = None

    def between(self, low, high):
        return round(self.rng.uniform(low, high), 2)

    def add_planned(self, at, kind, **fields):
        self.plan.append({"at": round(at, 2), "kind": kind, **fields})

    def add_fault(self, at, kind, **fields):
        self.faults.append({"at": round(at, 2), "kind": kind, **fields})

    def add_changes(self, gap_s):
        """Adds a configuration change about every `gap_s` seconds."""
        at = 1.5
        while at < DAY_LENGTH_S - 3:
            self.add_planned(at, "config_change", how=self.rng.choice(CHANGE_KINDS))
            at += gap_s * self.rng.uniform(0.6, 1.4)

    def choose_closing_fault(self):
        """Chooses the fault that ends the day, and how it is timed."""
        how = self.rng.choice(["", "timed", "oldest", "taken"])
        kind = self.rng.choice(["power_off_all", "wipe_after_ack", "wipe_after_ack", "kill_all"])
        self.closing = {"kind": kind, "down_s": self.between(0.6, 2.0), "how": how}

    def toml(self):
        lines = ["[[day]]", f'name = "{self.name}-{self.seed}"', 'slot = "trouble"', f"seed = {self.seed}"]
        if self.closing:
            lines.append(f"closing = {inline_table(self.closing)}")
        for title, entries in (("plan", self.plan), ("faults", self.faults)):
            lines.append(f"{title} = [")
            lines += [f"  {inline_table(entry)}," for entry in sorted(entries, key=lambda e: e["at"])]
            lines.append("]")
        return "\n".join(lines) + "\n"


def inline_table(fields):
    return "{ " + ", ".join(f"{key} = {json.dumps(value)}" for key, value in fields.items()) + " }"


# ---- machines are replaced, and further losses follow the repair


def replace_then_lose(day):
    """One to three machines are replaced; a disk or machine is lost soon after the last one has caught up."""
    day.add_changes(2.0)
    at = day.between(2, 5)
    for _ in range(day.rng.choice([1, 2, 2, 3])):
        how = day.rng.choice(["", "planned", "oldest"])
        day.add_fault(at, "replace_core", how=how, x=day.between(0.5, 2))
        at += day.between(5, 8)
    kind = day.rng.choice(["after_ack_wipe", "after_ack_kill", "node_kill", "herd_kill"])
    if kind == "node_kill":
        day.add_fault(at, kind, on="core", count=1, for_s=day.between(1, 4), how=day.rng.choice(["power", "power leader"]))
    elif kind == "herd_kill":
        day.add_fault(at, kind, on="core", for_s=day.between(1, 3), how=day.rng.choice(["power", "taken all", "off"]))
    else:
        day.add_fault(at, kind, for_s=day.between(1, 3), how=day.rng.choice(["", "oldest", "timed"]))
    day.choose_closing_fault()


def replace_and_cut(day):
    """Network cuts of the core before and after a machine is replaced, then the loss of a disk."""
    day.add_changes(1.5)
    at = day.between(3, 6)
    day.add_fault(at, "core_cut", for_s=day.between(2, 5), how=day.rng.choice(["behind", "relieve", "both", "oldest"]))
    day.add_fault(at + day.between(4, 8), "replace_core", how=day.rng.choice(["", "oldest", "planned"]))
    day.add_fault(at + day.between(12, 16), "core_cut", for_s=day.between(2, 4), how="leader race")
    day.add_fault(at + day.between(17, 20), "after_ack_wipe", for_s=1.5, how=day.rng.choice(["", "oldest"]))
    day.choose_closing_fault()


def wipes_in_a_row(day):
    """Disks are wiped one after the other, each as soon as the previous one has caught up."""
    day.add_changes(1.0)
    at = day.between(2, 4)
    while at < 22:
        day.add_fault(at, "after_ack_wipe", for_s=day.between(0.5, 2), how=day.rng.choice(["", "oldest", "timed"]))
        at += day.between(5, 7)
    day.choose_closing_fault()


# ---- core machines are cut off from the network


def cut_off_leader(day):
    """The machine that confirmed last is cut off for long, while operators send changes to both sides."""
    day.add_changes(0.8)
    at = day.between(3, 6)
    how = day.rng.choice(["leader race", "lure", "near race", "one_way race", "all race", "seeds", "both"])
    day.add_fault(at, "core_cut", for_s=day.between(8, 16), how=how)
    day.add_fault(at + day.between(0.5, 4), "node_kill", on="core", count=1, for_s=2.0, how="power")
    day.choose_closing_fault()


def halves(day):
    """The core is partitioned into halves repeatedly while changes are sent."""
    day.add_changes(0.8)
    at = day.between(3, 5)
    while at < 20:
        how = day.rng.choice(["split", "split race", "split one_way", "split relieve", "split hard"])
        day.add_fault(at, "core_cut", for_s=day.between(2, 6), how=how)
        at += day.between(8, 11)
    day.add_fault(day.between(18, 22), "herd_kill", on="core", for_s=1.0, how=day.rng.choice(["", "power", "taken"]))
    day.choose_closing_fault()


# ---- each configuration version belongs to one change


def races(day):
    """Two operators submit the same version, acknowledgements are lost, and invalid changes come in between."""
    day.add_changes(2.5)
    day.add_planned(day.between(2, 4), "config_race", count=6, gap_s=day.between(0.6, 1.6))
    day.add_planned(day.between(12, 15), "config_race", count=6, gap_s=day.between(0.6, 1.6))
    for how in ("same_version", "stale_match", "old_version", "cut_short", "unknown_service"):
        day.add_planned(day.between(3, 24), "bad_config", how=how, count=3, gap_s=day.between(0.3, 1))
    day.add_fault(day.between(2, 4), "ack_lost", for_s=10.0, x=day.between(0.4, 0.9))
    day.add_fault(day.between(13, 16), "ack_lost", for_s=8.0, x=day.between(0.4, 0.9))
    day.add_fault(day.between(5, 22), "after_ack_kill", for_s=1.5, how=day.rng.choice(["", "kill", "timed"]))
    day.choose_closing_fault()


# ---- hundreds of configuration changes


def storm_and_restart(day):
    """A long burst of configuration changes while core machines restart, lose disks and are replaced."""
    day.add_planned(1.5, "config_storm", for_s=24.0, gap_s=day.between(0.1, 0.25))
    day.add_planned(day.between(3, 6), "roll_term", on="core", share=1.0, gap_s=day.between(1.5, 3))
    day.add_fault(day.between(14, 18), "after_ack_wipe", for_s=1.0, how=day.rng.choice(["", "oldest"]))
    day.add_fault(day.between(19, 23), "replace_core", how=day.rng.choice(["", "planned"]))
    day.add_fault(day.between(8, 12), "node_kill", share=0.3)
    day.choose_closing_fault()


def storm_and_cut(day):
    """A burst of changes while the core is cut and nodes are cut off: nodes return hundreds of changes behind."""
    day.add_planned(1.5, "config_storm", for_s=20.0, gap_s=day.between(0.1, 0.3))
    day.add_fault(day.between(3, 5), "core_cut", for_s=day.between(6, 10), how=day.rng.choice(["", "behind", "near"]))
    day.add_fault(day.between(6, 9), "node_cut", share=0.3, for_s=day.between(4, 8))
    day.add_fault(day.between(18, 22), "herd_kill", on="core", for_s=1.5, how=day.rng.choice(["power", "taken all"]))
    day.choose_closing_fault()


# ---- every response belongs to its request


def silence_and_resets(day):
    """Frozen nodes, connection resets and lost responses, with backends that send malformed or extra responses."""
    day.add_changes(3.0)
    for _ in range(3):
        day.add_fault(day.between(2, 24), "node_freeze", share=0.25, for_s=day.between(0.5, 4))
        day.add_fault(day.between(2, 24), "reset_conns", share=0.5, x=0.8)
    day.add_fault(day.between(2, 12), "answer_lost", share=0.6, x=0.05, for_s=8.0, how=day.rng.choice(["", "reset"]))
    how = day.rng.choice(["extra", "extra late", "unframed", "early"])
    day.add_fault(day.between(2, 12), "garble", share=0.6, x=0.04, for_s=10.0, how=how)
    day.add_fault(day.between(14, 20), "garble", share=0.6, x=0.04, for_s=8.0, how="extra late")
    day.add_fault(day.between(6, 20), "srv_cut", share=0.3, for_s=4.0, how=day.rng.choice(["", "fronts", "reset", "one_way"]))
    day.add_planned(day.between(4, 12), "roll_term", share=0.6, gap_s=1.0, how="busy")
    day.choose_closing_fault()


def reuse_and_freeze(day):
    """Addresses are reused by other services while nodes are frozen, cut off or restarted."""
    day.add_changes(2.0)
    day.add_planned(day.between(2, 6), "replace_with_reuse", share=0.3, how=day.rng.choice(["", "drain", "dark"]))
    day.add_planned(day.between(12, 16), "replace_with_reuse", share=0.3, how=day.rng.choice(["", "drain", "dark"]))
    day.add_fault(day.between(3, 8), "node_freeze", share=0.3, for_s=day.between(1, 5))
    day.add_fault(day.between(13, 18), "node_cut", share=0.3, for_s=day.between(3, 6), how=day.rng.choice(["", "all"]))
    day.add_fault(day.between(8, 20), "srv_cut", share=0.3, for_s=5.0, how=day.rng.choice(["", "some", "one_way"]))
    day.add_planned(day.between(16, 22), "release", share=0.5, x=1.0, gap_s=0.8)
    day.choose_closing_fault()


def crash_and_restart(day):
    """Backends crash and are replaced while the nodes beside them and the core are killed or frozen."""
    day.add_changes(3.0)
    for start in (2, 9, 16):
        day.add_fault(day.between(start, start + 4), "srv_crash", share=0.15, for_s=day.between(0.5, 4.5))
        day.add_fault(day.between(start + 1, start + 6), "node_kill", share=0.1)
    day.add_planned(day.between(4, 10), "release", share=0.5, x=1.0, gap_s=0.8)
    day.add_planned(day.between(14, 20), "replace_with_reuse", share=0.3, how=day.rng.choice(["", "drain", "dark"]))
    day.add_fault(day.between(6, 20), "node_freeze", share=0.25, for_s=day.between(0.5, 4))
    day.add_fault(day.between(8, 22), "node_kill", on="core", count=day.rng.choice([1, 2]), for_s=day.between(0.5, 3))
    day.choose_closing_fault()


def impatient_clients(day):
    """Clients disconnect early or retry at once while backends and machines become slow."""
    day.add_changes(3.0)
    day.add_fault(day.between(2, 5), "give_up", share=day.between(0.3, 0.7), for_s=10.0)
    day.add_fault(day.between(14, 18), "give_up", share=day.between(0.3, 0.7), x=day.between(20, 80), for_s=8.0)
    day.add_fault(day.between(4, 10), "retry_abuse", share=0.4, x=2, for_s=6.0)
    day.add_fault(day.between(6, 12), "burst", x=day.between(1.3, 2), for_s=5.0)
    day.add_fault(day.between(3, 12), "srv_slow", share=0.3, x=4, for_s=6.0)
    day.add_fault(day.between(14, 20), "node_slow", share=0.2, x=5.0, for_s=5.0)
    day.add_fault(day.between(18, 22), "node_freeze", share=0.2, for_s=day.between(0.5, 3))
    day.add_planned(day.between(20, 24), "roll_term", share=0.5, gap_s=1.0)
    day.choose_closing_fault()


# ---- clients disconnect


def few_leave_slow_backends(day):
    """A few clients disconnect from undisturbed machines; slow backends make their requests long."""
    day.add_changes(6.0)
    day.add_fault(2.0, "srv_slow", share=1.0, x=day.between(4, 7), for_s=24.0)
    day.add_fault(day.between(4, 8), "give_up", share=day.between(0.03, 0.1), x=day.between(60, 200), for_s=12.0)


def few_leave_while_rolled(day):
    """A few clients disconnect during a rolling restart of all machines, with slow backends."""
    day.add_changes(3.0)
    day.add_planned(1.0, "roll_term", share=1.0, gap_s=2.0, how=day.rng.choice(["", "busy"]))
    day.add_fault(2.0, "srv_slow", share=day.between(0.4, 1), x=day.between(2, 5), for_s=24.0)
    day.add_fault(day.between(4, 18), "give_up", share=day.between(0.02, 0.3), x=day.between(60, 300), for_s=8.0)


def many_leave_while_rolled(day):
    """Most clients disconnect during a rolling restart, and one more fault occurs."""
    day.add_changes(1.5)
    day.add_planned(day.between(1, 4), "roll_term", share=1.0, gap_s=2.0, how=day.rng.choice(["", "busy"]))
    day.add_fault(day.between(2, 6), "give_up", share=day.between(0.5, 0.9), x=day.between(60, 300), for_s=20.0)
    kind = day.rng.choice(["reset_conns", "node_freeze", "node_kill", "node_slow", "srv_crash", "srv_cut"])
    day.add_fault(day.between(8, 16), kind, share=0.2, for_s=day.between(1, 4))


def keys_revoked_in_cuts(day):
    """Keys are revoked before, during and after cuts and freezes of machines that use them. For sites with tenants."""
    day.add_changes(day.between(2, 4))
    rng = day.rng
    for at in (3.0, 10.0, 18.0):
        begin = at + day.between(0, 2)
        day.add_fault(begin, "node_cut", share=0.3, for_s=day.between(6, 8), how=rng.choice(["all", ""]))
        day.add_planned(begin + day.between(0, 1), "revoke", count=3, gap_s=day.between(0.2, 0.8))
        day.add_fault(begin + day.between(0.5, 2), "node_freeze", share=0.1, for_s=day.between(2, 6))


def keys_revoked_without_core(day):
    """Keys are revoked around partitions and a complete loss of the core, with clock steps. For sites with tenants."""
    day.add_changes(day.between(2, 4))
    rng = day.rng
    first = day.between(2, 4)
    day.add_planned(first, "revoke", count=2, gap_s=0.4)
    day.add_fault(first + day.between(0, 1), "core_cut", for_s=day.between(4, 8), how=rng.choice(["split", "near", "one_way", "all"]))
    day.add_planned(first + day.between(1, 3), "revoke", count=2, gap_s=0.4)
    day.add_fault(first + 1, "clock_step", share=0.5, x=3000.0, for_s=4.0, how=rng.choice(["", "back", "back ahead"]))
    second = day.between(15, 18)
    day.add_planned(second - day.between(0, 0.5), "revoke", count=2, gap_s=0.2)
    day.add_fault(second, "herd_kill", on="core", for_s=day.between(2, 7), how=rng.choice(["", "power", "off", "taken"]))
    day.add_planned(second + day.between(0, 2), "revoke", count=2, gap_s=0.2)
    day.choose_closing_fault()


def anything(day):
    """Four to seven faults of any kind that concern the control plane, at random times."""
    day.add_changes(day.between(0.7, 3))
    rng = day.rng
    fault_makers = [
        lambda at: day.add_fault(at, "replace_core", how=rng.choice(["", "oldest", "planned"])),
        lambda at: day.add_fault(at, "after_ack_wipe", for_s=day.between(0.5, 3), how=rng.choice(["", "oldest", "timed"])),
        lambda at: day.add_fault(at, "after_ack_kill", for_s=day.between(0.5, 3), how=rng.choice(["", "kill", "timed"])),
        lambda at: day.add_fault(at, "core_cut", for_s=day.between(2, 8), how=rng.choice(
            ["", "behind", "split", "near", "oldest", "one_way", "seeds", "both", "lure", "relieve", "leader race", "all"])),
        lambda at: day.add_fault(at, "herd_kill", on="core", for_s=day.between(0.5, 3),
                             how=rng.choice(["", "power", "off", "taken", "taken all"])),
        lambda at: day.add_fault(at, "herd_kill", share=0.6, for_s=2.0, how=rng.choice(["", "power"])),
        lambda at: day.add_fault(at, "node_kill", on="core", count=1, for_s=3.0, how=rng.choice(
            ["leader race drain", "power leader race hard", "meet drain", "power"])),
        lambda at: day.add_fault(at, "node_freeze", on="core", count=1, for_s=day.between(1, 6)),
        lambda at: day.add_fault(at, "node_slow", on="core", count=1, x=5.0, for_s=day.between(2, 6)),
        lambda at: day.add_fault(at, "disk_stall", count=1, for_s=day.between(1, 5)),
        lambda at: day.add_fault(at, "disk_slow", count=1, x=30.0, for_s=day.between(2, 6)),
        lambda at: day.add_fault(at, "disk_full", count=1, for_s=day.between(2, 6)),
        lambda at: day.add_fault(at, "reset_conns", share=0.6, x=0.8),
        lambda at: day.add_fault(at, "clock_step", share=0.5, x=3000.0, for_s=4.0, how=rng.choice(["", "back", "back ahead"])),
        lambda at: day.add_fault(at, "ack_lost", for_s=5.0, x=0.8),
        lambda at: day.add_fault(at, "node_cut", share=0.3, for_s=day.between(2, 6), how=rng.choice(["", "all"])),
        lambda at: day.add_planned(at, "roll_term", on="core", share=1.0, gap_s=day.between(1, 3)),
        lambda at: day.add_planned(at, "config_race", count=4, gap_s=0.8),
        lambda at: day.add_planned(at, "config_storm", for_s=4.0, gap_s=0.15),
        lambda at: day.add_planned(at, "seed_turnover"),
        lambda at: day.add_planned(at, "hup", share=0.6),
        lambda at: day.add_planned(at, "scale_in", share=0.2),
    ]
    for make_fault in rng.choices(fault_makers, k=rng.randint(4, 7)):
        make_fault(day.between(2, 24))
    day.choose_closing_fault()


AIMS = [replace_then_lose, replace_and_cut, wipes_in_a_row, cut_off_leader, halves, races, storm_and_restart,
        storm_and_cut, silence_and_resets, reuse_and_freeze, crash_and_restart, impatient_clients,
        few_leave_slow_backends, few_leave_while_rolled, many_leave_while_rolled, keys_revoked_in_cuts,
        keys_revoked_without_core, anything]


def main():
    if len(sys.argv) < 4:
        sys.exit(__doc__)
    folder, aim, seeds = Path(sys.argv[1]), sys.argv[2], [int(word) for word in sys.argv[3:]]
    selected = [a for a in AIMS if aim in (a.__name__, "all")]
    if not selected:
        sys.exit(f"no aim is called {aim}; there are: " + ", ".join(a.__name__ for a in AIMS))
    folder.mkdir(parents=True, exist_ok=True)
    for add_entries in selected:
        for seed in seeds:
            day = Day(add_entries.__name__, seed)
            add_entries(day)
            (folder / f"{day.name}-{seed}.toml").write_text(day.toml())


if __name__ == "__main__":
    main()
