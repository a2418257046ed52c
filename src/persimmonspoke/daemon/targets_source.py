"""What the daemon knows of the entries of targets, for `FreshTargets`."""

from collections.abc import Callable

from persimmonspoke.ids import Instant
from persimmonspoke.internal.news.updates import StoreUpdates
from persimmonspoke.internal.observe.lateness import Lateness
from persimmonspoke.internal.routing.state import RoutingState


class UpdatedTargets:
    """Implements `persimmonspoke.internal.routing.fresh_targets.TargetsSource`.

    Parameters
    ----------
    prefix : str
        Prefix of the entries of targets.
    apply : callable
        Puts the entries that have arrived into force.
    """

    def __init__(
        self,
        updates: StoreUpdates,
        state: RoutingState,
        prefix: str,
        apply: Callable[[], object],
        lateness: Lateness,
    ):
        self._updates = updates
        self._state = state
        self._prefix = prefix
        self._apply = apply
        self._lateness = lateness

    def targets_proven_at(self) -> Instant | None:
        """Return when the known entries were last proven to be the newest, if ever."""
        return self._updates.proven_at(self._prefix)

    def apply_targets(self) -> None:
        """Put the entries that have arrived into force."""
        if self._state.targets_are_behind():
            self._apply()

    def list_targets(self, timeout_s: float) -> None:
        """List the entries, or raise `StoreError`."""
        self._updates.list_once(self._prefix, timeout_s)

    def store_is_away(self) -> bool:
        """Return whether the store has just left a check without an answer."""
        return self._updates.store_is_away()

    def late_since(self, since: Instant) -> float:
        """Return the longest delay of this process since an instant, in seconds."""
        return self._lateness.longest_since(since)
