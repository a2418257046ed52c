"""Judges the history of a soak by the rules of the platform's page.

A paused target is up: it holds its keys until their time is over.  What the page does
not count is reported as excused, as an excuse may hide a fault.
"""

import argparse
import enum
import itertools
import sys
from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, field, replace

from tools.soak.history import End, Grant, UnreadableHistory, read

DOUBLE_HOLD_S = 0.5
LEEWAY_S = 0.05  # between what happens and the line about it
MAX_LOST = 3  # answers that a host may lose at times that are calm for it
PROMISES_NOT_RUN = (408, 421, 429, 503)


class Verdict(enum.Enum):
    """What a finding says."""

    BROKEN = "broken"
    EXCUSED = "excused"
    ERROR = "error"  # of the soak itself: the history contradicts itself


@dataclass(frozen=True)
class Finding:
    """One finding about some processes or requests, and the first and last key."""

    rule: str
    at: float
    subject: tuple
    text: str
    keys: tuple | None = None
    verdict: Verdict = Verdict.BROKEN

    def __str__(self):
        keys = f" keys {self.keys[0]} to {self.keys[1]}" if self.keys else ""
        subject = ", ".join(self.subject)
        head = f"{self.at:.3f} {self.verdict.value} {self.rule}{keys}"
        return f"{head}: {subject}: {self.text}"


@dataclass(frozen=True)
class Bounds:
    """Bounds of the deployment, in seconds."""

    thaw_s: float = 0.3
    stable_window_s: float = 3.0
    grace_s: float = 6.0
    drain_s: float = 2.0


@dataclass
class Hold:
    """The hold of some keys by a process from `begin` to `end`, by one grant.

    Attributes
    ----------
    excuse, delay : str
        Why the grant does not count at all, or not for long double holds and for work
        that it meets elsewhere; empty if it counts.
    is_new : bool
        Whether the process did not hold the keys under this fence before.
    """

    grant: Grant
    begin: float
    end: float
    excuse: str
    delay: str
    is_new: bool


@dataclass(frozen=True)
class Cell:
    """Keys of a service with no bound of an order between them, first and last.

    `holds` and `works` are by process, in the order in which they began.
    """

    service: str | None
    keys: tuple
    holds: dict
    works: dict


@dataclass(frozen=True)
class Overlap:
    """Time for which two processes hold the keys of a cell."""

    cell: Cell
    processes: tuple
    begin: float
    end: float

    def holds(self):
        """Return the holds of both in that time."""
        holds = [hold for name in self.processes for hold in self.cell.holds[name]]
        return [h for h in holds if h.begin < self.end and self.begin < h.end]

    def begins_work(self, process):
        """Return whether a process begins to work on the keys in that time."""
        works = self.cell.works.get(process, ())
        return any(self.begin <= work.started_at < self.end for work in works)


@dataclass
class Life:
    """What is known of a process; `end_at` is None if its end was not noted."""

    role: str | None = None
    id: str = ""
    service: str | None = None
    end_at: float | None = None
    last_sign_at: float = 0.0

    @property
    def up_until(self):
        """Return until when the process is known to have been up."""
        return self.last_sign_at if self.end_at is None else self.end_at


@dataclass
class Trial:
    """A history, and what the checks derive from it.

    Attributes
    ----------
    with_excuses : bool
        Whether holds that have an excuse are left out.
    """

    history: object
    bounds: Bounds = field(default_factory=Bounds)
    with_excuses: bool = True

    def __post_init__(self):
        self.lives = self._lives()
        self.stores = {name_of(n) for n, x in self.lives.items() if x.role == "store"}
        self.senders = defaultdict(list)
        for conn in self.history.all("conn"):
            self.senders[conn.via, conn.end].append(conn)
        self.works = self.history.works()
        self.cells = list(self._all_cells())

    def _lives(self):
        lives = defaultdict(Life)
        for start in self.history.all("process_start") + self.history.all("life"):
            life = lives[start.process]
            life.id, life.service = start.id, start.service or life.service
        for start in self.history.all("process_start"):
            lives[start.process].role = start.role
        for kind in ("life", "grant", "release", "work", "draining"):
            for record in self.history.all(kind):
                life = lives[record.process]
                life.last_sign_at = max(life.last_sign_at, record.at)
        for end in self.history.all("process_end"):
            lives[end.process].end_at = end.at
        return dict(lives)

    def counts(self, hold):
        """Return whether a hold counts for a double hold of any length."""
        return not (self.with_excuses and hold.excuse)

    def counts_if_long(self, hold):
        """Return whether a hold counts for a long double hold."""
        return self.counts(hold) and not (self.with_excuses and hold.delay)

    def sender(self, grant):
        """Return the name of the host that sent a grant; None if it is not known."""
        conns = self.senders.get((grant.via, name_of(grant.process)), ())
        hosts = [conn.host for conn in conns if conn.at <= grant.arrived_at]
        return hosts[-1] if hosts else None

    def _excuse(self, grant):
        for resume in self._shortly_before(grant, "resume"):
            if resume.process == grant.process:
                return "taken late after a pause of its target"
            is_host = self.lives[resume.process].role == "host"
            if is_host and self.sender(grant) in (None, name_of(resume.process)):
                return f"sent after a pause of {resume.process}"
        ends = {self.sender(grant), name_of(grant.process)}
        for heal in self._shortly_before(grant, "heal"):
            # Of all links only those of sender and target can have held it up.
            harmed = self.harmed_by(heal) - self.stores
            if harmed & ends or (None in ends and harmed):
                return "arrived after the end of a cut"
        return ""

    def _delay(self, grant):
        if grant.late:
            return "taken late"
        arrived_at, after_s = grant.arrived_at, self.bounds.thaw_s
        stalled = any(
            stall.at - stall.for_s <= arrived_at <= stall.at + after_s
            for stall in self.history.all("stall")
        )
        return "held up on its way" if grant.held_up or stalled else ""

    def harmed_by(self, change):
        """Return the names of those whose links are harmed; the store if it errs."""
        sides = [set(side) for side in change.ends]
        return self.stores if self.stores & sides[0] else set().union(*sides)

    def _shortly_before(self, grant, kind):
        # The runner writes the line after it has sent the signal or healed the link.
        records, at = self.history.all(kind), grant.arrived_at
        first = bisect_left(records, at - self.bounds.thaw_s, key=_at)
        return records[first : bisect_right(records, at + LEEWAY_S, key=_at)]

    def _all_cells(self):
        orders, works = defaultdict(list), defaultdict(list)
        taken = [grant for grant in self.history.all("grant") if grant.is_taken]
        for order in sorted(taken + self.history.all("release"), key=_at):
            orders[self.lives[order.process].service].append(order)
        for work in sorted(self.works, key=lambda work: work.started_at):
            if work.key >= 0:
                works[self.lives[work.process].service].append(work)
        for service, found in orders.items():
            yield from self._cells(service, found, works[service])

    def _cells(self, service, orders, works):
        edges = {order.range_from for order in orders}
        edges = sorted(edges | {order.range_to for order in orders})
        covering, begun = (defaultdict(lambda: defaultdict(list)) for _ in range(2))
        for order in orders:
            first = bisect_left(edges, order.range_from)
            for number in range(first, bisect_left(edges, order.range_to)):
                covering[number][order.process].append(order)
        for work in works:
            begun[bisect_right(edges, work.key) - 1][work.process].append(work)
        for number, part in covering.items():
            holds = {name: self._holds(name, part[name]) for name in part}
            keys = (edges[number], edges[number + 1] - 1)
            yield Cell(service, keys, holds, begun[number])

    def _holds(self, process, orders):
        found, running = [], []
        for order in orders:
            running = [hold for hold in running if hold.end > order.at]
            is_grant = isinstance(order, Grant)
            for hold in running:
                # A grant that does not count may not hide the one before it.
                until = max(order.end_at, order.at) if is_grant else order.at
                hold.end = min(hold.end, until)
            end = min(order.end_at, self.lives[process].up_until) if is_grant else 0.0
            if order.at < end:
                is_new = all(h.excuse or h.grant.fence != order.fence for h in running)
                excuse, delay = self._excuse(order), self._delay(order)
                found.append(Hold(order, order.at, end, excuse, delay, is_new))
                running.append(found[-1])
        return found


def name_of(process):
    """Return the name under which a process and those before it are started."""
    return process.partition(".")[0]


def _at(record):
    return record.at


def _spans(holds):
    """Return the (begin, end) of holds that follow on one another as one."""
    spans = []
    for hold in holds:
        if spans and hold.begin <= spans[-1][1]:
            spans[-1][1] = max(hold.end, spans[-1][1])
        else:
            spans.append([hold.begin, hold.end])
    return spans


def _overlaps(cell, counts):
    """Yield the overlaps of those holds of a cell that count."""
    spans = sorted(
        (begin, end, process)
        for process, holds in cell.holds.items()
        for begin, end in _spans(filter(counts, holds))
    )
    for number, (_, end, process) in enumerate(spans):
        for begin, other_end, other in itertools.islice(spans, number + 1, None):
            if begin >= end:
                break
            pair = tuple(sorted((process, other)))
            yield Overlap(cell, pair, begin, min(end, other_end))


def _described(holds):
    """Return the orders of some holds, and their excuses."""
    reasons = sorted({reason for h in holds for reason in (h.excuse, h.delay)} - {""})
    fences = sorted({hold.grant.fence for hold in holds})
    return f"fences {fences}" + "".join(f", {reason}" for reason in reasons)


def double_holds(trial):
    """Yield times of over half a second in which two targets hold the same keys."""
    for cell in trial.cells:
        for found in _overlaps(cell, trial.counts_if_long):
            length_s = found.end - found.begin
            if length_s > DOUBLE_HOLD_S:
                text = f"both for {length_s:.3f} s, {_described(found.holds())}"
                rule = "OWNER double hold"
                yield Finding(rule, found.begin, found.processes, text, cell.keys)


def work_at_both(trial):
    """Yield times in which two targets hold the same keys and both begin work."""
    by_pair = defaultdict(list)
    for cell in trial.cells:
        for overlap in _overlaps(cell, trial.counts):
            by_pair[overlap.processes].append(overlap)
    for pair, overlaps in by_pair.items():
        for part in _touching(overlaps):
            if all(any(o.begins_work(process) for o in part) for process in pair):
                ends = [key for overlap in part for key in overlap.cell.keys]
                holds = [hold for overlap in part for hold in overlap.holds()]
                text = f"both began work in a double hold, {_described(holds)}"
                keys = (min(ends), max(ends))
                yield Finding("OWNER work at both", part[0].begin, pair, text, keys)


def _touching(overlaps):
    """Return lists of overlaps whose times are connected."""
    parts, end = [], float("-inf")
    for overlap in sorted(overlaps, key=lambda overlap: overlap.begin):
        if overlap.begin < end:
            parts[-1].append(overlap)
        else:
            parts.append([overlap])
        end = max(end, overlap.end)
    return parts


def fences(trial):
    """Yield keys taken under a fence that is not above all that other targets had."""
    for cell in trial.cells:
        holds = [hold for part in cell.holds.values() for hold in part]
        highest = {}
        # By arrival, as the sender of an order that is applied late can't take it back.
        for hold in sorted(
            filter(trial.counts, holds), key=lambda hold: hold.grant.arrived_at
        ):
            process, fence = hold.grant.process, hold.grant.fence
            others = [(highest[name], name) for name in highest if name != process]
            if hold.is_new and others and fence <= max(others)[0]:
                known, other = max(others)
                text = f"fence {fence} after {known}, {_described([hold])}"
                pair = (process, other)
                yield Finding("OWNER fence", hold.begin, pair, text, cell.keys)
            highest[process] = max(fence, highest.get(process, fence))


def grants_during_work(trial):
    """Yield keys taken while another target works on them and its time is not over."""
    for cell in trial.cells:
        for process, holds in cell.holds.items():
            for hold in filter(trial.counts_if_long, holds):
                for other, works in cell.works.items() if hold.is_new else ():
                    at = hold.begin
                    mine = filter(trial.counts_if_long, cell.holds.get(other, ()))
                    ends = [h.grant.end_at for h in mine if h.begin <= at]
                    running = [w.request for w in works if _is_running(trial, w, at)]
                    if other != process and running and ends and at < ends[-1]:
                        text = f"granted during {running[0]}, {_described([hold])}"
                        pair, rule = (process, other), "OWNER grant during work"
                        yield Finding(rule, at, pair, text, cell.keys)


def _is_running(trial, work, at):
    up_until = trial.lives[work.process].up_until
    return work.started_at <= at < (work.ended_at or up_until)


def protected_requests(trial):
    """Yield protected requests that run twice, or run although they were refused."""
    runs = defaultdict(list)
    for work in trial.works:
        if work.protected:
            runs[work.request].append(work)
    for request, works in runs.items():
        if len(works) > 1:
            text = f"ran at {', '.join(work.process for work in works)}"
            yield Finding("TWICE", works[1].started_at, (request,), text)
    for answer in trial.history.all("answered"):
        if answer.status in PROMISES_NOT_RUN and answer.request in runs:
            where = runs[answer.request][0].process
            text = f"was answered {answer.status} and ran at {where}"
            yield Finding("REFUSED", answer.at, (answer.request,), text)


def whole_answers(trial):
    """Yield answers that are not whole, or not to the caller's own request."""
    waiting = {sent.request for sent in trial.history.all("sent")}
    ran = {(work.process, work.request) for work in trial.works}
    for answer in trial.history.all("answered"):
        request, worker = answer.request, answer.body_process
        torn = trial.history.torn.get(f"target-{worker}", "")
        if request not in waiting:
            text = "an answer with no request waiting"
        elif answer.body_request not in (None, request):
            text = f"the answer to {answer.body_request}"
        elif not answer.complete or not 200 <= answer.status < 300:
            text = ""
        else:
            is_own = (worker, request) in ran or request in torn
            text = "" if is_own else f"the body of {worker}, which did not run it"
        waiting.discard(request)
        if text:
            text = f"{text}, status {answer.status}"
            yield Finding("MIXED", answer.at, (request,), text)


@dataclass(frozen=True)
class Disturbance:
    """What may excuse that hosts lose answers."""

    begin: float
    end: float
    names: set
    is_planned: bool = False


def _disturbances(trial):
    history = trial.history
    targets = {name_of(n) for n, life in trial.lives.items() if life.role == "target"}

    def names(change):
        if hasattr(change, "process"):
            return {name_of(change.process)}
        # A target that some hosts can't reach is well for the others.
        return trial.harmed_by(change) - targets

    for begin_kind, end_kind in (("pause", "resume"), ("cut", "heal")):
        open_since = []
        for change in sorted(history.all(begin_kind) + history.all(end_kind), key=_at):
            begins = [x for x in open_since if replace(x, at=change.at) == change]
            if change in history.all(begin_kind):
                open_since.append(change)
            elif begins:
                open_since.remove(begins[0])
                yield Disturbance(begins[0].at, change.at, names(change))
        for change in open_since:
            yield Disturbance(change.at, float("inf"), names(change))
    planned = {x.process for kind in ("term", "draining") for x in history.all(kind)}
    ended_by_plan = set()
    changes = history.all("process_start") + history.all("process_end")
    for record in sorted(changes, key=_at):
        name = name_of(record.process)
        is_planned = name in ended_by_plan  # the start after a planned stop
        if isinstance(record, End):
            is_planned = record.process in planned
            (ended_by_plan.add if is_planned else ended_by_plan.discard)(name)
        yield Disturbance(record.at, record.at, {name}, is_planned)


@dataclass(frozen=True)
class LostAnswer:
    """A request that a host passed on, and whose caller got no whole answer."""

    sent: object
    at: float
    works: list


def _losses(trial):
    works = defaultdict(list)
    for work in trial.works:
        works[work.request].append(work)
    # A caller that gave up at its own time limit has lost nothing.
    ends = [x for x in trial.history.all("lost") if "timeout" not in x.error.lower()]
    ends += [answer for answer in trial.history.all("answered") if not answer.complete]
    ended_at = {end.request: end.at for end in ends}
    for sent in trial.history.all("sent"):
        request = sent.request
        if request in ended_at and request in works and sent.host is not None:
            yield LostAnswer(sent, ended_at[request], works[request])


def lost_answers(trial):
    """Yield answers that a host lost, at calm times or while it stopped by plan."""
    window_s, grace_s = trial.bounds.stable_window_s, trial.bounds.grace_s
    disturbances = list(_disturbances(trial))
    stops = defaultdict(list)
    for record in trial.history.all("term"):
        stops[name_of(record.process)].append(record.at)
    at_calm_times = defaultdict(list)
    for loss in _losses(trial):
        sent, at = loss.sent, loss.at
        # A disturbance of the store excuses nothing for requests without a key.
        stores = trial.stores if sent.key < 0 else set()
        before = [d for d in disturbances if d.begin <= at and d.names - stores]
        stop = max((s for s in stops.get(sent.host, ()) if s <= at), default=None)
        if stop is not None and at <= stop + grace_s + 1:
            since, late_at = sent.at - window_s, stop + grace_s * 5 / 6
            calm = not any(d.end >= since and not d.is_planned for d in before)
            ran = any(_is_running(trial, work, late_at) for work in loss.works)
            if calm and not (ran and sent.at <= stop + 3):
                text = f"{sent.host} lost it {at - stop:.3f} s after SIGTERM"
                yield Finding("LOST", at, (sent.request,), text)
            continue
        involved = {sent.host, *(name_of(work.process) for work in loss.works)}
        involved |= trial.stores
        if not any(d.end >= at - window_s and d.names & involved for d in before):
            at_calm_times[sent.host].append((at, sent.request))
    for host, found in at_calm_times.items():
        if len(found) > MAX_LOST:
            names = tuple(request for _, request in found)
            yield Finding("LOST", found[MAX_LOST][0], names, f"all lost by {host}")


def late_sends(trial):
    """Yield requests that began at a target too late after it had said that it leaves.

    Only hosts in touch count, and a store that was well when it acknowledged that.
    """
    window_s = trial.bounds.stable_window_s
    disturbances = list(_disturbances(trial))
    hosts = {sent.request: sent.host for sent in trial.history.all("sent")}
    left_at = {change.process: change.at for change in trial.history.all("leaving")}
    for work in trial.works:
        left = left_at.get(work.process)
        late_s = 0.0 if left is None else work.started_at - left - trial.bounds.drain_s
        host = hosts.get(work.request)
        if late_s <= LEEWAY_S or host is None:
            continue
        spans = {host: work.started_at, **dict.fromkeys(trial.stores, left)}
        if not any(
            d.begin <= work.started_at and d.end >= spans[name] - window_s
            for d in disturbances
            for name in d.names & set(spans)
        ):
            text = f"{host} let it begin {late_s:.3f} s after the bound"
            yield Finding("DRAIN", work.started_at, (work.process, work.request), text)


def consistency(trial):
    """Yield contradictions in the history, by which the soak itself errs."""
    errors = []
    for name, life in trial.lives.items():
        if life.role is None:
            errors.append((life.last_sign_at, name, "life without a start"))
        if life.end_at is None:
            errors.append((life.last_sign_at, name, "life not closed"))
        elif life.last_sign_at > life.end_at:
            errors.append((life.end_at, name, "wrote after the end of its life"))
    for stall in trial.history.all("stall"):
        if stall.for_s > trial.bounds.thaw_s:
            text = f"passed nothing on for {stall.for_s:.3f} s"
            errors.append((stall.at, "proxy", text))
    grants = trial.history.all("grant")
    unknown = [x for x in grants if x.via is not None and trial.sender(x) is None]
    if unknown:
        text = f"{len(unknown)} of {len(grants)} grants have no known sender"
        errors.append((unknown[0].at, "proxy", text))
    for cell in trial.cells:
        for name, works in cell.works.items():
            spans = _spans(cell.holds.get(name, ()))
            for work in works:
                at = work.started_at
                if work.fence is not None and not any(
                    begin - LEEWAY_S <= at < end + LEEWAY_S for begin, end in spans
                ):
                    text = f"worked on {work.request} (key {work.key}) without a hold"
                    errors.append((at, name, text))
    for at, name, text in errors:
        yield Finding("history", at, (name,), text, verdict=Verdict.ERROR)


CHECKS = (
    double_holds,
    work_at_both,
    fences,
    grants_during_work,
    protected_requests,
    whole_answers,
    lost_answers,
    late_sends,
    consistency,
)


def transfers(trial):
    """Return how often keys went to another process, by how the hold before ended.

    Only holds that ran out show whether a target is waited for that can't be heard.
    """
    found = {"a release": 0, "the end of the process": 0, "the granted time": 0}
    for cell in trial.cells:
        last = None
        holds = [hold for part in cell.holds.values() for hold in part]
        for hold in sorted(holds, key=lambda hold: hold.begin):
            if last is not None and last.grant.process != hold.grant.process:
                ended = last.end == trial.lives[last.grant.process].up_until
                by_time = last.end == last.grant.end_at and not ended
                how = "the end of the process" if ended else "a release"
                found["the granted time" if by_time else how] += 1
            last = hold
    return found


def judge(history, bounds=None):
    """Return the findings of a history, in the order of time."""
    trial = Trial(history, bounds or Bounds())
    findings = [finding for check in CHECKS for finding in check(trial)]
    known = {(finding.rule, finding.subject) for finding in findings}
    trial.with_excuses = False
    for finding in itertools.chain(*(check(trial) for check in CHECKS)):
        if (finding.rule, finding.subject) not in known:
            findings.append(replace(finding, verdict=Verdict.EXCUSED))
    return sorted(_merged(findings), key=lambda finding: finding.at)


def _merged(findings):
    """Return findings that differ in their keys only as one."""
    keys = {}
    for finding in findings:
        bare = replace(finding, keys=None)
        keys[bare] = keys.get(bare, ()) + (finding.keys or ())
    return [
        replace(bare, keys=(min(ends), max(ends)) if ends else None)
        for bare, ends in keys.items()
    ]


def main(argv=None):
    """Judge a folder; return 1 if a rule is broken, 2 if the soak itself erred."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("folder", help="the folder of a run")
    parser.add_argument("--excused", action="store_true", help="list excused cases too")
    args = parser.parse_args(argv)
    try:
        history = read(args.folder)
    except UnreadableHistory as exc:
        print(exc, file=sys.stderr)
        return 2
    findings = judge(history)
    verdicts = [finding.verdict for finding in findings]
    for finding in findings:
        if args.excused or finding.verdict is not Verdict.EXCUSED:
            print(finding)
    changes = transfers(Trial(history)).items()
    print("keys went on after", ", ".join(f"{how}: {n}" for how, n in changes))
    counts = [f"{verdicts.count(verdict)} {verdict.value}" for verdict in Verdict]
    print(", ".join(counts))
    if Verdict.BROKEN in verdicts:
        return 1
    return 2 if Verdict.ERROR in verdicts else 0


if __name__ == "__main__":
    sys.exit(main())
