"""This host's own record in the store, and the outcomes of its writes."""

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
from persimmonspoke.internal.news.api import StoreView
from persimmonspoke.internal.store.api import Store, StoredObject
from persimmonspoke.internal.store.writes import new_write_id, write

STORE_TIMEOUT_S = 0.5


class WriteOutcome(Enum):
    """The outcome of a write of the record, as far as it is known."""

    DONE = "done"
    UNKNOWN = "open"
    """It is not known whether the write took effect, and it still may."""

    NOT_WRITTEN = "undone"
    """The write is guaranteed not to have taken effect."""

    SUPERSEDED = "overtaken"
    """Another write came first, and this host adopts the record that it wrote."""

    REVOKED = "revoked"
    """Another host revoked this run."""


class OwnRecord:
    """The record as it is stored, and at most one pending write of it.

    Attributes
    ----------
    value : HostRecord or None
        The stored record; None before the first write has taken effect.
    pending : HostRecord or None
        The record of a write whose outcome is not known yet.
    unrevoked_at : Instant
        Latest instant at which this host was guaranteed not to be revoked.
    read_at : Instant
        When the last read of the record began.
    """

    def __init__(self, clock: Clock, store: Store, store_view: StoreView):
        self.value: HostRecord | None = None
        self.pending: HostRecord | None = None
        self.unrevoked_at = LONG_AGO
        self.read_at = LONG_AGO
        self._clock = clock
        self._store = store
        self._store_view = store_view
        self._stored = StoredObject("", {}, 0)

    def write(self, record: HostRecord) -> WriteOutcome:
        """Write `record` and return the outcome; no write may be pending."""
        self.pending = record
        self._pending_value = record.to_value(new_write_id())
        self._outcome_was_unknown = False
        return self.resolve()

    def resolve(self) -> WriteOutcome:
        """Retry the pending write, or find its outcome; return what is known of it."""
        record, value = self.pending, self._pending_value
        version = self._stored.version
        try:
            stored = write(
                self._store, self._clock, record.path, value, version, self._deadline()
            )
        except StoreConflict:
            return self._adopt_found()
        except StoreOutcomeUnknown:
            self._outcome_was_unknown = True
            return WriteOutcome.UNKNOWN
        except StoreError:
            if self._outcome_was_unknown:
                return WriteOutcome.UNKNOWN
            self.pending = None
            return WriteOutcome.NOT_WRITTEN
        self._apply_stored(stored, record)
        return WriteOutcome.DONE

    def read(self) -> bool:
        """Read the record; return whether it shows that this run is revoked."""
        self.read_at = before = self._clock.now()
        if self.value is None:
            return False
        try:
            found = self._store.get(self.value.path, self._deadline())
        except StoreMissing:
            return True
        except StoreError:
            return False
        self._store_view.observe(found)
        if HostRecord.from_value(found.value).revoked:
            return True
        self.unrevoked_at = max(self.unrevoked_at, before)
        return False

    def last_read_succeeded(self) -> bool:
        """Return whether the last `read` showed that this host was not revoked."""
        return self.unrevoked_at >= self.read_at

    def _adopt_found(self):
        """Adopt the stored record after a write that conflicted with another."""
        try:
            found = self._store.get(self.pending.path, self._deadline())
        except StoreMissing:
            return WriteOutcome.REVOKED
        except StoreError:
            return WriteOutcome.UNKNOWN
        record = HostRecord.from_value(found.value)
        if record.revoked:
            self._store_view.observe(found)
            return WriteOutcome.REVOKED
        self._apply_stored(found, record)
        return WriteOutcome.SUPERSEDED

    def _apply_stored(self, stored, record):
        self._store_view.observe(stored)
        self._stored = stored
        self.value = record
        self.pending = None

    def _deadline(self):
        return Instant(self._clock.now() + STORE_TIMEOUT_S)
