"""Targets drained by operators, stored for all entry hosts."""

from collections.abc import Callable
from typing import Any

from persimmonspoke.errors import StoreConflict, StoreMissing, StoreUnavailable
from persimmonspoke.ids import Instant, TargetId, TeamId, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.questionnaire.configuration import TeamConfig
from persimmonspoke.internal.store.api import Store, StoredObject
from persimmonspoke.internal.store.writes import new_write_id, write

DRAINS_PREFIX = "drains/"


Targets = frozenset[TargetId]


def drained_targets(value: dict[str, Any]) -> Targets:
    """Return the drained targets in the stored object of one team."""
    return frozenset(TargetId(name) for name in value.get("targets", ()))


def all_targets(config: TeamConfig) -> Targets:
    """Return every target of a team."""
    return frozenset(
        target.target_id for service in config.services for target in service.targets
    )


class Drains:
    """Repository of the targets that get no new work because an operator drained them.

    Each change removes the targets that are no longer in the team's configuration.
    """

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock

    def read(self, team: TeamId, deadline: Instant) -> Targets:
        """Return the drained targets of `team`."""
        return drained_targets(self._read_or_empty(team, deadline).value)

    def drain(self, config: TeamConfig, target: TargetId, deadline: Instant) -> Targets:
        """Drain `target` and return all drained targets of its team."""
        configured = all_targets(config)
        return self._change(
            config.team, lambda drained: (drained & configured) | {target}, deadline
        )

    def undrain(
        self, config: TeamConfig, target: TargetId, deadline: Instant
    ) -> Targets:
        """Undrain `target` and return the targets still drained."""
        configured = all_targets(config)
        return self._change(
            config.team, lambda drained: (drained & configured) - {target}, deadline
        )

    def _change(
        self, team: TeamId, change: Callable[[Targets], Targets], deadline: Instant
    ) -> Targets:
        """Apply `change` to the stored set, without losing concurrent changes."""
        while self._clock.now() < deadline:
            stored = self._read_or_empty(team, deadline)
            before = drained_targets(stored.value)
            after = change(before)
            if after == before:
                return after
            try:
                self._write(team, after, stored, deadline)
                return after
            except StoreConflict:
                continue  # Another operator wrote first; change the new set instead.
        raise StoreUnavailable(f"drains of {team}: not written before the deadline")

    def _write(self, team, targets, stored, deadline):
        """Replace `stored` by an object that holds `targets`."""
        value = {
            "team": team,
            "targets": sorted(targets),
            "write_id": new_write_id(),
        }
        write(self._store, self._clock, stored.key, value, stored.version, deadline)

    def _read_or_empty(self, team, deadline):
        """Return the team's object, or an empty one if none is stored."""
        key = f"{DRAINS_PREFIX}{team}"
        try:
            return self._store.get(key, deadline)
        except StoreMissing:
            return StoredObject(key, {}, Version(0))
