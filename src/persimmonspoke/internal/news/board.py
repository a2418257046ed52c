"""The newest objects that a host knows of, and the order in which it learned them."""

import eventlet.event

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.store.api import Listing, Stored


class NewsBoard:
    """The objects of the store as this host last heard of them.

    Implements `persimmonspoke.internal.news.api.News`.

    Parameters
    ----------
    clock : Clock
        Ends the waits of `wait`.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._objects: dict[str, Stored] = {}
        self._learned_at: dict[str, int] = {}
        self._count = 0
        self._changed = eventlet.event.Event()

    def get(self, key: str) -> Stored | None:
        """Return the newest known object under `key`, if any."""
        found = self._objects.get(key)
        return found if found is not None and found.value else None

    def items(self, prefix: str) -> tuple[Stored, ...]:
        """Return the newest known objects whose keys start with `prefix`."""
        return tuple(
            found
            for key, found in sorted(self._objects.items())
            if key.startswith(prefix) and found.value
        )

    def observe(self, stored: Stored) -> None:
        """Take in an object, unless a newer version of it is known."""
        known = self._objects.get(stored.key)
        if known is not None and not _newer(stored, known):
            return
        self._objects[stored.key] = stored
        self._count += 1
        self._learned_at[stored.key] = self._count
        self._wake()

    def observe_listing(self, listing: Listing, before: dict[str, Stored]) -> None:
        """Take in all objects of the store; what is missing there was deleted.

        Parameters
        ----------
        before : dict of str to Stored
            The `snapshot` taken before the listing was asked for.  An object that
            changed since then is newer than the listing and stays.
        """
        for stored in listing.items:
            self.observe(stored)
        listed = {stored.key for stored in listing.items}
        for key, known in before.items():
            if key not in listed and self._objects.get(key) is known:
                self._forget(known)

    def snapshot(self, prefix: str = "") -> dict[str, Stored]:
        """Return a copy of what is known under `prefix`, by key."""
        return {k: v for k, v in self._objects.items() if k.startswith(prefix)}

    def count(self) -> int:
        """Return a number that grows with every change."""
        return self._count

    def since(self, count: int) -> tuple[Stored, ...]:
        """Return the objects learned after the `count`-th change, deletions too."""
        return tuple(
            self._objects[key]
            for key, learned in sorted(self._learned_at.items(), key=lambda kv: kv[1])
            if learned > count
        )

    def wait(self, count: int, deadline: Instant) -> None:
        """Return once `count()` exceeds `count`, or at `deadline`."""
        while self._count <= count:
            left = deadline - self._clock.now()
            if left <= 0:
                return
            with eventlet.Timeout(left, False):
                self._changed.wait()

    def _forget(self, known):
        """Record that an object no longer exists."""
        if not known.value:
            return
        self._objects[known.key] = Stored(known.key, {}, known.version)
        self._count += 1
        self._learned_at[known.key] = self._count
        self._wake()

    def _wake(self):
        """Wake all waiting tasks; an event fires once, so a new one takes over."""
        fired, self._changed = self._changed, eventlet.event.Event()
        fired.send()


def _newer(stored, known):
    """Return whether `stored` replaces `known`.

    A deletion carries the version of the object that it ended, so at equal
    versions the deletion is the newer of the two.
    """
    if stored.version != known.version:
        return stored.version > known.version
    return bool(known.value) and not stored.value
