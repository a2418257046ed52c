"""The requests under which targets have ended, as one host knows them.

What two hosts know can be joined in any order and more than once: crashes are a set of
incarnations, answers and trials are counted upwards.
"""

import logging
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import xxhash

from persimmonspoke.errors import Quarantined
from persimmonspoke.ids import Fingerprint, HostId, Instant, RequestId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.quarantine.messages import SuspectRow, row_fields
from persimmonspoke.internal.quarantine.settings import QuarantineSettings

MAX_CRASHES_KEPT = 8  # more change nothing, and a row stays short
SHARED_CRASHES = 2  # one may be a coincidence and concerns the leader only

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Suspect:
    """One request; see `SuspectRow`.

    Attributes
    ----------
    changed_at : Instant
        When the last crash, trial or answer took place.
    told_to : HostId or None
        The leader that knows all of this.
    """

    answered: int
    changed_at: Instant
    crashes: set[str] = field(default_factory=set)
    trials: int = 0
    shared: bool = False
    told_to: HostId | None = None


class Suspects:
    """Decides which requests are refused because targets end under them.

    Attributes
    ----------
    claim_trial : callable
        Asks for the right to send a refused request once more, as one of the few
        trials of the whole fleet; returns whether it was granted.  By default this
        host decides for itself.
    """

    def __init__(self, cfg: QuarantineSettings, clock: Clock):
        self._cfg = cfg
        self._clock = clock
        self.claim_trial: Callable[[Fingerprint, int], bool] = self.start_trial
        # In the order of the latest changes; the first ones are forgotten first.
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._digest: int | None = None

    def check(self, fingerprint: Fingerprint, request_id: RequestId) -> bool:
        """Raise `Quarantined` unless a request may be sent to a target.

        Return whether it is sent as a trial.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not self._is_refused(suspect):
            return False
        now = self._clock.now()
        trial_at = self._trial_at(suspect)
        if now >= trial_at and self.claim_trial(fingerprint, suspect.trials):
            log.info(
                "quarantine: trial",
                extra={
                    "request_id": request_id,
                    "fingerprint": fingerprint,
                    "trial": suspect.trials,
                },
            )
            return True
        back_at = max(self._trial_at(suspect), now + 1.0)
        if math.isinf(back_at):
            back_at = suspect.changed_at + self._cfg.forget_s
        raise Quarantined(
            f"{len(suspect.crashes)} targets have ended while they ran this request",
            retry_after_s=math.ceil(max(0.0, back_at - now)),
        )

    def allows(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request may be sent, other than as a trial."""
        suspect = self._suspects.get(fingerprint)
        return suspect is None or not self._is_refused(suspect)

    def record_crash(
        self, fingerprint: Fingerprint, incarnation: str, request_id: RequestId
    ) -> None:
        """Record that a target ended while it ran a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = _Suspect(0, self._clock.now())
        elif incarnation in suspect.crashes:
            return
        if len(suspect.crashes) < MAX_CRASHES_KEPT:
            suspect.crashes.add(incarnation)
        self._changed(fingerprint, suspect, self._clock.now())
        self._log_change(
            "quarantine: target ended", fingerprint, suspect, request_id, incarnation
        )

    def record_answer(self, fingerprint: Fingerprint, request_id: RequestId) -> None:
        """Record that a target answered a request; earlier crashes no longer count."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return
        suspect.answered += 1
        suspect.crashes, suspect.trials = set(), 0
        self._changed(fingerprint, suspect, self._clock.now())
        self._log_change(
            "quarantine: request answered", fingerprint, suspect, request_id, None
        )

    def start_trial(self, fingerprint: Fingerprint, trials: int) -> bool:
        """Count one trial of a refused request, if it is due; return whether it is.

        Only the leader calls this.

        Parameters
        ----------
        trials : int
            Number of trials that the claimant knows of.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.trials != trials:
            return False
        now = self._clock.now()
        if not self._is_refused(suspect) or now < self._trial_at(suspect):
            return False
        suspect.trials += 1
        self._changed(fingerprint, suspect, now)
        return True

    def merge(self, rows: Iterable[list], source: str) -> list[Fingerprint]:
        """Add what another host knows; return the requests that are known better now.

        Parameters
        ----------
        source : str
            The host, for the log.
        """
        now = self._clock.now()
        changed = []
        for fields in rows:
            row = SuspectRow(*fields)
            if row.age_s >= self._cfg.forget_s:
                continue
            changed_at = Instant(now - row.age_s)
            suspect = self._suspects.get(row.fingerprint) or _Suspect(-1, changed_at)
            before = _state(suspect)
            if row.answered > suspect.answered:
                suspect.answered = row.answered
                suspect.crashes, suspect.trials = set(), 0
            if row.answered == suspect.answered:
                joined = sorted(suspect.crashes | set(row.crashes))
                suspect.crashes = set(joined[:MAX_CRASHES_KEPT])
                suspect.trials = max(suspect.trials, row.trials)
            suspect.shared |= row.shared
            if _state(suspect) == before:
                continue
            changed.append(row.fingerprint)
            changed_at = max(changed_at, suspect.changed_at)
            self._changed(row.fingerprint, suspect, changed_at)
            self._log_change(
                "quarantine: told", row.fingerprint, suspect, None, None, source
            )
        return changed

    def shared_rows(self) -> list[list]:
        """Return the rows that all hosts should have."""
        return [
            self._row(fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
            if suspect.shared
        ]

    def refused_rows(self) -> list[list]:
        """Return the rows of the requests that are refused."""
        return [
            self._row(fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
            if self._is_refused(suspect)
        ]

    def rows_of(self, fingerprints: Iterable[Fingerprint]) -> list[list]:
        """Return those of the shared rows that are about these requests."""
        return [
            self._row(fingerprint, suspect)
            for fingerprint in fingerprints
            if (suspect := self._suspects.get(fingerprint)) and suspect.shared
        ]

    def digest(self) -> int:
        """Return a hash of the shared rows, 0 if there are none."""
        if self._digest is None:
            self._digest = digest_of(self.shared_rows())
        return self._digest

    def untold(self, leader: HostId) -> list[list]:
        """Return the rows of which a leader does not know everything yet."""
        return [
            self._row(fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
            if suspect.told_to != leader
        ]

    def mark_told(self, rows: Iterable[list], leader: HostId) -> None:
        """Record that a leader has received these rows."""
        for fields in rows:
            suspect = self._suspects.get(fields[0])
            # What has changed since then is still to be told.
            if suspect and _content(self._row(fields[0], suspect)) == _content(fields):
                suspect.told_to = leader

    def forget_old(self) -> None:
        """Forget requests that nothing was heard of for `forget_s`."""
        oldest = self._clock.now() - self._cfg.forget_s
        for fingerprint in list(self._suspects):
            if self._suspects[fingerprint].changed_at > oldest:
                continue
            if self._is_refused(self._suspects[fingerprint]):
                log.info("quarantine: ended", extra={"fingerprint": fingerprint})
            self._forget(fingerprint)

    def counts(self) -> tuple[int, int]:
        """Return how many requests are remembered, and how many are refused."""
        refused = sum(map(self._is_refused, self._suspects.values()))
        return len(self._suspects), refused

    def _is_refused(self, suspect):
        return len(suspect.crashes) >= self._cfg.max_crashes

    def _trial_at(self, suspect) -> Instant:
        """Return when a refused request may be tried; infinity if it may not."""
        if suspect.trials >= self._cfg.max_trials:
            return Instant(math.inf)
        pause_s = self._cfg.trial_s * self._cfg.trial_factor**suspect.trials
        return Instant(suspect.changed_at + pause_s)

    def _changed(self, fingerprint, suspect, changed_at):
        suspect.changed_at = changed_at
        suspect.told_to = self._digest = None
        suspect.shared |= len(suspect.crashes) >= SHARED_CRASHES
        self._suspects[fingerprint] = suspect
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > self._cfg.max_requests:
            self._forget_one()

    def _forget_one(self):
        """Forget the oldest request, of those that are not refused if there are any."""
        oldest = next(iter(self._suspects))
        for fingerprint, suspect in self._suspects.items():
            if not self._is_refused(suspect):
                oldest = fingerprint
                break
        self._forget(oldest)

    def _forget(self, fingerprint):
        self._digest = None
        del self._suspects[fingerprint]

    def _row(self, fingerprint, suspect) -> list:
        age_s = self._clock.now() - suspect.changed_at
        return row_fields(
            SuspectRow(
                fingerprint,
                suspect.answered,
                list(suspect.crashes),
                suspect.trials,
                suspect.shared,
                age_s,
            )
        )

    def _log_change(
        self, event, fingerprint, suspect, request_id, incarnation, source="own"
    ):
        log.info(
            event,
            extra={
                "request_id": request_id,
                "fingerprint": fingerprint,
                "incarnation": incarnation,
                "crashes": len(suspect.crashes),
                "answered": suspect.answered,
                "trials": suspect.trials,
                "refused": self._is_refused(suspect),
                "source": source,
                "age_s": round(self._clock.now() - suspect.changed_at, 3),
            },
        )


def digest_of(rows: Iterable[list]) -> int:
    """Return a hash of what rows say, whatever their order and age; 0 for none."""
    contents = sorted(map(_content, rows))
    return xxhash.xxh32_intdigest(repr(contents)) if contents else 0


def _content(fields):
    """Return the fields of a row without the age."""
    return fields[:-1]


def _state(suspect):
    """Return what tells whether a suspect has changed by a merge."""
    return suspect.answered, len(suspect.crashes), suspect.trials, suspect.shared
