"""What the leader does for the quarantine: trials, and a copy in the store.

The memory of the hosts is enough while any of them runs; the copy is for the loss of
all of them.
"""

import logging
from collections.abc import Callable, Iterable

from persimmonspoke.errors import PeerError, StoreConflict, StoreError, StoreMissing
from persimmonspoke.ids import Fingerprint, Instant, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.leadership import Leadership
from persimmonspoke.internal.peers.api import PeerLink
from persimmonspoke.internal.quarantine.messages import TrialAnswer, TrialClaim
from persimmonspoke.internal.quarantine.settings import QuarantineSettings
from persimmonspoke.internal.quarantine.suspects import Suspects, digest_of
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.store.writes import WRITE_ID, new_write_id, write

QUARANTINE_KEY = "persimmonspoke-quarantine/main"
CLAIM_S = 0.1  # a request waits for the answer to its claim
MAX_RETRY_S = 2.0  # pause after failed calls of the store

log = logging.getLogger(__name__)


class QuarantineKeeper:
    """Allows trials and stores the refused requests, while this host leads.

    Parameters
    ----------
    publish : callable
        Tells all hosts what this one knows of some requests.
    """

    def __init__(
        self,
        cfg: QuarantineSettings,
        clock: Clock,
        link: PeerLink,
        store: Store,
        leadership: Leadership,
        suspects: Suspects,
        publish: Callable[[Iterable[Fingerprint]], None],
    ):
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self._store = store
        self._leadership = leadership
        self._suspects = suspects
        self._publish = publish
        self._read_epoch: int | None = None
        self._version = Version(0)
        self._stored: tuple[int, int] | None = None
        suspects.claim_trial = self.claim
        link.serve(TrialClaim, self._on_claim)

    def claim(self, fingerprint: Fingerprint, trials: int) -> bool:
        """Ask the leader to allow a trial; return whether it did."""
        claim = TrialClaim(fingerprint, trials)
        if self._leadership.leading:
            return self._on_claim(claim).allowed
        if self._leadership.leader is None:
            return False
        deadline = Instant(self._clock.now() + CLAIM_S)
        try:
            return self._link.call(self._leadership.leader, claim, deadline).allowed
        except PeerError as exc:
            log.info(
                "quarantine: trial not claimed",
                extra={"fingerprint": fingerprint, "reason": repr(exc)},
            )
            return False

    def run(self) -> None:
        """Forget old requests, and keep the copy up to date; a task of the daemon."""
        pause_s = self._cfg.sync_s
        while True:
            self._clock.sleep_until(Instant(self._clock.now() + pause_s))
            self._suspects.forget_old()
            failed = self._leadership.leading and not self._keep_copy()
            pause_s = min(2 * pause_s, MAX_RETRY_S) if failed else self._cfg.sync_s

    def _on_claim(self, claim: TrialClaim) -> TrialAnswer:
        leading = self._leadership.leading
        allowed = leading and self._suspects.start_trial(
            claim.fingerprint, claim.trials
        )
        if allowed:
            self._publish([claim.fingerprint])
        return TrialAnswer(allowed)

    def _keep_copy(self) -> bool:
        """Read the copy once as a new leader, then store changes; return success."""
        try:
            if self._read_epoch != self._leadership.epoch:
                self._read()
            rows = self._suspects.refused_rows()
            # A copy is missing from a store that was restored from an older state.
            content = (digest_of(rows), self._store.era)
            if content != self._stored:
                if rows or self._version:
                    self._write(rows)
                self._stored = content
        except StoreConflict:
            self._read_epoch = None
            return False
        except StoreError as exc:
            log.info("quarantine: copy not kept", extra={"reason": repr(exc)})
            return False
        return True

    def _read(self):
        epoch = self._leadership.epoch
        deadline = Instant(self._clock.now() + self._cfg.store_call_s)
        try:
            stored = self._store.get(QUARANTINE_KEY, deadline)
        except StoreMissing:
            self._version, rows = Version(0), []
        else:
            self._version, rows = stored.version, _rows_of(stored)
        self._read_epoch = epoch
        self._stored = digest_of(rows), self._store.era
        self._publish(self._suspects.merge(rows, "store"))

    def _write(self, rows):
        deadline = Instant(self._clock.now() + self._cfg.store_call_s)
        value = {WRITE_ID: new_write_id(), "rows": rows}
        stored = write(
            self._store, self._clock, QUARANTINE_KEY, value, self._version, deadline
        )
        self._version = stored.version
        log.info(
            "quarantine: copy stored",
            extra={"requests": len(rows), "store_version": stored.version},
        )


def _rows_of(stored) -> list[list]:
    """Return the rows of the stored copy, without those that can't be read.

    Nobody knows how long ago they were stored, so their age counts from now.
    """
    rows, found = [], stored.value.get("rows")
    for fields in found if isinstance(found, list) else [found]:
        try:
            fingerprint, answered, crashes, trials, shared, _ = fields
            rows.append(
                [
                    str(fingerprint),
                    int(answered),
                    list(map(str, crashes)),
                    int(trials),
                    bool(shared),
                    0.0,
                ]
            )
        except (TypeError, ValueError) as exc:
            log.warning(
                "quarantine: stored row can't be read, it is left out",
                extra={"row": repr(fields)[:80], "reason": str(exc)},
            )
    return rows
