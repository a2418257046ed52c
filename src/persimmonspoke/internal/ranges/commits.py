"""Commits of several moves in one write to the store.

Each write to the store is charged for.  Moves that were planned together are ready to
be committed within a short time of each other.
"""

from collections.abc import Callable

from eventlet.event import Event
from eventlet.semaphore import Semaphore

from persimmonspoke.errors import AuthorityLapsed
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.ranges.record import Ownership

Change = Callable[[Ownership], Ownership]


class _Batch:
    """Changes that one write stores."""

    def __init__(self):
        self.changes: list[Change] = []
        self.stored = Event()


class SharedCommits:
    """Stores changes of the ownership; those that come together share a write.

    A change is in one batch only, so it is stored at most once.  If the write of a
    batch fails, so do all of its changes.

    Parameters
    ----------
    commit : callable
        Stores a change, as `Leadership.commit` does.

    Attributes
    ----------
    writes, changes : int
        Number of writes, and of the changes that they stored.
    """

    def __init__(self, clock: Clock, commit: Callable[[Change], None]):
        self._clock = clock
        self._commit = commit
        self._lock = Semaphore(1)
        self._batch: _Batch | None = None
        self.writes = 0
        self.changes = 0

    def commit(self, change: Change, gather_until: Instant) -> None:
        """Store a change; return once it is stored, or raise as `commit` does.

        Parameters
        ----------
        gather_until : Instant
            Until then other changes can join the write.  It is later if an earlier
            write has not finished by then.
        """
        batch = self._batch
        if batch is not None:
            batch.changes.append(change)
            batch.stored.wait()
            return
        batch = self._batch = _Batch()
        batch.changes.append(change)
        try:
            self._clock.sleep_until(gather_until)
            with self._lock:
                self._close(batch)
                self._commit(lambda ownership: _apply_all(batch.changes, ownership))
            self.writes += 1
            self.changes += len(batch.changes)
        except Exception as exc:
            self._close(batch)
            batch.stored.send_exception(exc)
            raise
        except BaseException:
            # The task was ended because this host stops leading.
            self._close(batch)
            batch.stored.send_exception(AuthorityLapsed("this host stopped leading"))
            raise
        batch.stored.send(None)

    def _close(self, batch):
        """Let no further change join a batch."""
        if self._batch is batch:
            self._batch = None


def _apply_all(changes, ownership):
    for change in changes:
        ownership = change(ownership)
    return ownership
