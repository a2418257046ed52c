"""Draws the faults of a soak from a seed.

A schedule is a list of steps.  Each names what is done, when (in seconds from when all
hosts are ready), and to whom: targets by the number of their place, hosts
by their number or as ``leader``, which is resolved when the step is due, or ``same``,
the host that the last step was about; ``others`` are all but that one.
"""

import json
import pathlib
import random
from dataclasses import asdict, dataclass, field
from typing import Any

from persimmonspoke.standins.deployment import REUSE_DELAY_S

CALM_S = 5.0  # before the first fault
LAST_S = 12.0  # after the last one begins
# Between the begins of two scenes.  Keys of a silent target go to others up to 13 s
# later; whether that is too early shows only where nothing else happens meanwhile.
SCENE_GAPS_S = ((0.3, 3.5), (1.5, 6.0), (4.0, 11.0))


@dataclass(frozen=True)
class Size:
    """A deployment.

    Attributes
    ----------
    zones : tuple of int
        Number of hosts in each data centre.
    services : dict
        Number of targets of each service; all are divided by key.
    spares : int
        Places of targets that are empty at first.
    per_s : float
        Requests a second.
    """

    zones: tuple[int, ...]
    services: dict[str, int]
    spares: int
    per_s: float

    @property
    def hosts(self):
        """Return the number of hosts."""
        return sum(self.zones)

    @property
    def targets(self):
        """Return the number of targets at first."""
        return sum(self.services.values())


SIZES = {
    "qoyan": Size((4, 2, 3), {"inventory": 12, "checkout": 6, "ledger": 10}, 6, 70.0),
    "small": Size((2, 1, 2), {"inventory": 6, "checkout": 2}, 3, 40.0),
}


@dataclass(frozen=True)
class Step:
    """One fault."""

    at: float
    name: str
    args: dict[str, Any] = field(default_factory=dict)


class _Draw:
    """Draws scenes, each of which is a few steps close to each other."""

    def __init__(self, seed, size, seconds, overlap):
        self.rng = random.Random(f"{seed} {size.hosts} {size.targets}")
        self.size = size
        self.seconds = seconds
        self.overlap = overlap
        self.gap_s = self.rng.choice(SCENE_GAPS_S)
        self.now = CALM_S
        self.steps = []

    def add(self, after_s, name, **args):
        """Add a step some time after the begin of the scene."""
        self.steps.append(Step(round(self.now + after_s, 3), name, args))

    def uniform(self, least, most):
        """Return a number."""
        return round(self.rng.uniform(least, most), 3)

    def place(self):
        """Return a place, mostly one of the largest service."""
        first = next(iter(self.size.services.values()))
        if self.rng.random() < 0.8:
            return self.rng.randrange(first)
        return self.rng.randrange(self.size.targets + self.size.spares)

    def host(self):
        """Return a host; mostly the leader."""
        if self.rng.random() < 0.65:
            return "leader"
        return self.rng.randrange(1, self.size.hosts + 1)

    def how(self):
        """Return how a way is cut."""
        kinds = ("reset", "silent", "no answers", "no requests", "slow")
        return self.rng.choice(kinds)

    def trouble_of_leader(self, after_s):
        """Add trouble of the leader, or of another host."""
        host = self.host()
        match self.rng.randrange(7):
            case 0:
                self.add(after_s, "host_pause", host=host, for_s=self.uniform(0.5, 7))
            case 1 | 2:
                self.cut_from_store(after_s, host)
            case 3:
                self.add(after_s, "host_kill", host=host, down_s=self.uniform(0.1, 4))
            case 4:
                self.add(after_s, "host_stop", host=host, down_s=self.uniform(0.1, 2))
            case 5:
                self.cut(after_s, host, self.rng.choice(("hosts", "targets", "all")))
            case 6:
                self.cut_from_store(after_s, host)
                self.cut(after_s + self.uniform(0, 1.5), "same", "hosts")

    def cut_from_store(self, after_s, host):
        """Add a host that the store turns away, or that is cut off from it."""
        for_s = self.uniform(2, 10)
        if self.rng.random() < 0.5:
            how = self.rng.choice(("busy", "many", "reset", "silent"))
            self.add(after_s, "store_fault", host=host, how=how, x=0, for_s=for_s)
        else:
            self.cut(after_s, host, "store", for_s)

    def cut(self, after_s, host, ends, for_s=None):
        """Add a cut of a host."""
        for_s = for_s or self.uniform(1, 8)
        how = self.how()
        self.add(after_s, "host_cut", host=host, ends=ends, how=how, for_s=for_s)

    def quick_restarts(self):
        """Add a few restarts at one address, and trouble of the leader about then."""
        place, after_s = self.place(), 0.0
        for _ in range(self.rng.randrange(1, 5)):
            same_id = self.rng.random() < 0.5
            down_s = self.rng.choice((0.0, 0.0, 0.2, 1.0))
            self.add(
                after_s, "target_restart", place=place, same_id=same_id, down_s=down_s
            )
            after_s += self.uniform(0.4, 2)
        if self.rng.random() < 0.8:
            self.trouble_of_leader(self.uniform(0, after_s))

    def store_turns_away(self):
        """Add a host without the store while another one takes over."""
        self.cut_from_store(0, self.host())
        if self.rng.random() < 0.5:
            self.cut(self.uniform(0, 1), "same", "hosts")
        for _ in range(self.rng.randrange(1, 4)):
            same_id = self.rng.random() < 0.5
            self.add(
                self.uniform(0.2, 6),
                "target_restart",
                place=self.place(),
                same_id=same_id,
                down_s=0.0,
            )
        if self.rng.random() < 0.5:
            self.trouble_of_leader(self.uniform(1.5, 4))

    def replaced_leader(self):
        """Add a leader that goes on although another has taken over, among restarts.

        Without the store and the other hosts it can't know of its successor.
        """
        for_s = self.uniform(4, 15)  # its lease lasts 12 s
        self.cut(0, "leader", "store", for_s)
        if self.rng.random() < 0.7:
            self.cut(self.uniform(0, 0.5), "same", "hosts", for_s)
        places = range(next(iter(self.size.services.values())))
        chosen = self.rng.sample(places, self.rng.randrange(2, 6))
        if self.rng.random() < 0.5:
            # Its successor can't reach a target that it goes on to renew.
            self.add(
                self.uniform(0.6, 2),
                "target_cut",
                place=chosen.pop(),
                hosts="others",
                how=self.how(),
                for_s=self.uniform(6, 20),
            )
        for place in chosen:
            self.add(
                self.uniform(0.2, for_s),
                "target_restart",
                place=place,
                same_id=self.rng.random() < 0.5,
                down_s=0.0,
            )

    def drain(self):
        """Add a target that drains, whose address is then given to another."""
        service = self.rng.choice(tuple(self.size.services))
        self.add(
            0,
            "target_drain",
            place=self.place(),
            extra_s=self.rng.choice((0.2, 1.0, 3.0, 8.0)),
            closes_listener=self.overlap or self.rng.random() < 0.5,
            abrupt=self.rng.random() < 0.3,
            then=self.rng.choice((None, service, service)),
            overlaps=self.overlap and self.rng.random() < 0.7,
        )
        if self.rng.random() < 0.7:
            self.trouble_of_leader(self.uniform(0, 4))

    def reuse(self):
        """Add targets that crash for good; their addresses go to another service."""
        for _ in range(self.rng.randrange(1, 4)):
            self.add(
                self.uniform(0, 1),
                "target_restart",
                place=self.place(),
                same_id=False,
                down_s=REUSE_DELAY_S,
                service=self.rng.choice(tuple(self.size.services)),
            )
        if self.rng.random() < 0.5:
            self.trouble_of_leader(self.uniform(0, 4))

    def release(self):
        """Add targets that are replaced one after the other, the new one first."""
        after_s = 0.0
        for _ in range(self.rng.randrange(1, 4)):
            self.add(after_s, "target_replace", place=self.place())
            after_s += self.uniform(0.5, 1.5)
        if self.rng.random() < 0.5:
            self.trouble_of_leader(self.uniform(0, after_s + 2))

    def herd(self):
        """Add the kill of many hosts at once."""
        hosts = range(1, self.size.hosts + 1)
        for host in self.rng.sample(hosts, self.rng.randrange(2, self.size.hosts + 1)):
            self.add(0, "host_kill", host=host, down_s=self.uniform(0.2, 2))

    def roll(self):
        """Add planned stops in a row, the leader first."""
        after_s = 0.0
        for _ in range(self.rng.randrange(2, 5)):
            self.add(after_s, "host_stop", host=self.host(), down_s=0.3)
            after_s += self.uniform(0.5, 2)

    def pauses(self):
        """Add targets that stand still, and one that restarts meanwhile."""
        for _ in range(self.rng.randrange(1, 4)):
            for_s = self.uniform(0.5, 9)
            self.add(
                self.uniform(0, 2), "target_pause", place=self.place(), for_s=for_s
            )
        if self.rng.random() < 0.6:
            self.trouble_of_leader(self.uniform(0, 3))

    def silent_targets(self):
        """Add targets that are alive and can't be heard, or not by all."""
        for _ in range(self.rng.randrange(1, 3)):
            hosts = self.rng.choice(("all", "all", self.host(), "half"))
            self.add(
                self.uniform(0, 1),
                "target_cut",
                place=self.place(),
                hosts=hosts,
                how=self.how(),
                for_s=self.uniform(1, 9),
            )
        if self.rng.random() < 0.6:
            self.trouble_of_leader(self.uniform(0, 3))

    def silent_holder(self):
        """Add a holder of keys that is alive and silent until these go to others."""
        place = self.rng.randrange(next(iter(self.size.services.values())))
        for_s = self.uniform(6, 20)
        if self.rng.random() < 0.3:
            self.add(0, "target_pause", place=place, for_s=for_s)
        else:
            hosts = self.rng.choice(("all", "all", "leader"))
            how = self.rng.choice(("silent", "no answers", "no answers", "reset"))
            self.add(0, "target_cut", place=place, hosts=hosts, how=how, for_s=for_s)
        if self.rng.random() < 0.4:
            self.trouble_of_leader(self.uniform(0, 8))

    def lost_reports(self):
        """Add targets that are cut off from the store, and may restart behind that."""
        for _ in range(self.rng.randrange(1, 3)):
            place, for_s = self.place(), self.uniform(3, 10)
            self.add(0, "target_unreported", place=place, for_s=for_s)
            if self.rng.random() < 0.4:
                self.add(
                    self.uniform(0.2, for_s),
                    "target_restart",
                    place=place,
                    same_id=self.rng.random() < 0.5,
                    down_s=0.0,
                )
        if self.rng.random() < 0.5:
            self.trouble_of_leader(self.uniform(0, 4))

    def store_trouble(self):
        """Add trouble of the whole store."""
        how = self.rng.choice(
            ("busy", "reset", "silent", "slow", "lost", "late", "pause", "compact")
        )
        for_s = self.uniform(1, 6)
        if how == "pause":
            self.add(0, "store_pause", for_s=self.uniform(0.5, 4))
        elif how == "compact":
            self.add(0, "store_compact")
        else:
            x = {"slow": 50, "lost": 0.35, "late": 0.35}.get(how, 0)
            self.add(0, "store_fault", host="all", how=how, x=x, for_s=for_s)
        if self.rng.random() < 0.6:
            self.add(
                self.uniform(0, for_s),
                "target_restart",
                place=self.place(),
                same_id=self.rng.random() < 0.5,
                down_s=0.0,
            )
        if self.rng.random() < 0.4:
            self.trouble_of_leader(self.uniform(0, for_s))

    def late_orders(self):
        """Add orders that are not answered and carried out late."""
        for_s = self.uniform(2, 6)
        self.add(0, "orders_late", share=self.rng.choice((0.05, 0.3)), for_s=for_s)
        if self.rng.random() < 0.6:
            self.add(
                self.uniform(0, for_s),
                "target_restart",
                place=self.place(),
                same_id=self.rng.random() < 0.5,
                down_s=0.0,
            )
        if self.rng.random() < 0.6:
            self.trouble_of_leader(self.uniform(0, for_s))

    def draw(self):
        """Return the steps, in the order of time."""
        scenes = {
            self.quick_restarts: 6,
            self.store_turns_away: 3,
            self.replaced_leader: 4,
            self.drain: 4,
            self.reuse: 3,
            self.silent_holder: 4,
            self.pauses: 3,
            self.silent_targets: 3,
            self.release: 2,
            self.lost_reports: 2,
            self.store_trouble: 2,
            self.late_orders: 2,
            self.roll: 1,
            self.herd: 0.5,
        }
        while self.now < self.seconds - LAST_S:
            self.rng.choices(tuple(scenes), tuple(scenes.values()))[0]()
            self.now += self.uniform(*self.gap_s)
        return sorted(self.steps, key=lambda step: step.at)


def draw(seed: int, size: Size, seconds: float, overlap: bool = False) -> list[Step]:
    """Return the schedule of a seed.

    With `overlap`, addresses are taken again while a target that drains still works on
    over its open connections.
    """
    return _Draw(seed, size, seconds, overlap).draw()


def to_text(steps: list[Step]) -> str:
    """Return a schedule as text, a step a line."""
    return "".join(json.dumps(asdict(step)) + "\n" for step in steps)


def read(path: pathlib.Path) -> list[Step]:
    """Read a schedule."""
    return [Step(**json.loads(line)) for line in path.read_text().splitlines()]
