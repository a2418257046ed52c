"""This host's own record in the store, and the outcome of each write of it."""

from enum import Enum

from persimmonspoke.errors import (
    StoreConflict,
    StoreError,
    StoreMissing,
    StoreOutcomeUnknown,
)
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.lease import LONG_AGO
from persimmonspoke.internal.membership.record import HostRecord
from persimmonspoke.internal.news.api import News
from persimmonspoke.internal.store.api import Store, Stored
from persimmonspoke.internal.store.writes import new_write_id, write

WRITE_S = 0.5


class WriteOutcome(Enum):
    """What is known of the last write of the record."""

    DONE = "done"
    OPEN = "open"
    """Nobody knows yet; it may still take effect."""

    UNDONE = "undone"
    """It certainly did not happen."""

    OVERTAKEN = "overtaken"
    """Another writer won, and this host goes on with what that one wrote."""

    REVOKED = "revoked"
    """Another host revoked this run."""


class OwnRecord:
    """The record as the store has it, and at most one pending write.

    Attributes
    ----------
    value : HostRecord or None
        The record in force; None before the first write has taken effect.
    pending : HostRecord or None
        What a write without a known outcome would put in its place.
    sure_at : Instant
        Latest instant at which this host was certainly not revoked.
    read_at : Instant
        When the record was last asked for.
    """

    def __init__(self, clock: Clock, store: Store, news: News):
        self.value: HostRecord | None = None
        self.pending: HostRecord | None = None
        self.sure_at = LONG_AGO
        self.read_at = LONG_AGO
        self._clock = clock
        self._store = store
        self._news = news
        self._stored = Stored("", {}, 0)

    def write(self, record: HostRecord) -> WriteOutcome:
        """Begin to write `record`; nothing may be pending."""
        self.pending = record
        self._pending_value = record.to_value(new_write_id())
        self._unresolved = False
        return self.settle()

    def settle(self) -> WriteOutcome:
        """Go on with the pending write until its outcome is known."""
        record, value = self.pending, self._pending_value
        version = self._stored.version
        try:
            stored = write(
                self._store, self._clock, record.path, value, version, self._deadline()
            )
        except StoreConflict:
            return self._adopt_found()
        except StoreOutcomeUnknown:
            self._unresolved = True
            return WriteOutcome.OPEN
        except StoreError:
            if self._unresolved:
                return WriteOutcome.OPEN
            self.pending = None
            return WriteOutcome.UNDONE
        self._take(stored, record)
        return WriteOutcome.DONE

    def read(self) -> bool:
        """Read the record; return whether this run turned out to be revoked."""
        self.read_at = before = self._clock.now()
        if self.value is None:
            return False
        try:
            found = self._store.get(self.value.path, self._deadline())
        except StoreMissing:
            return True
        except StoreError:
            return False
        self._news.observe(found)
        if HostRecord.from_value(found.value).revoked:
            return True
        self.sure_at = max(self.sure_at, before)
        return False

    def answered_last(self) -> bool:
        """Return whether the last `read` showed that this host is not revoked."""
        return self.sure_at >= self.read_at

    def _adopt_found(self):
        """Take over what the store holds after another writer won."""
        try:
            found = self._store.get(self.pending.path, self._deadline())
        except StoreMissing:
            return WriteOutcome.REVOKED
        except StoreError:
            return WriteOutcome.OPEN
        record = HostRecord.from_value(found.value)
        if record.revoked:
            self._news.observe(found)
            return WriteOutcome.REVOKED
        self._take(found, record)
        return WriteOutcome.OVERTAKEN

    def _take(self, stored, record):
        self._news.observe(stored)
        self._stored = stored
        self.value = record
        self.pending = None

    def _deadline(self):
        return Instant(self._clock.now() + WRITE_S)
