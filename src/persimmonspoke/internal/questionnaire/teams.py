"""Repository of teams: questionnaire and configuration, changed atomically."""

import json
from dataclasses import dataclass

from persimmonspoke.errors import (
    ApplyConflict,
    InvalidSettings,
    StoreConflict,
    StoreMissing,
    UnknownTeam,
)
from persimmonspoke.ids import Generation, Instant, TeamId, Version, WriteId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.questionnaire.changes import Change, changes_between
from persimmonspoke.internal.questionnaire.generate import NO_GENERATION, generate
from persimmonspoke.internal.questionnaire.questions import Questionnaire
from persimmonspoke.internal.questionnaire.team_record import TEAMS_PREFIX, TeamRecord
from persimmonspoke.internal.store.api import Store
from persimmonspoke.internal.store.writes import new_write_id, write

MAX_REMEMBERED_WRITES = 16
MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Accepted:
    """Outcome of an apply that took effect.

    Attributes
    ----------
    generation : Generation
        The generation that the apply created, or the accepted one if it already
        has the same answers.
    replaced : bool
        Whether a later generation has been accepted since.
    """

    team: TeamId
    generation: Generation
    replaced: bool = False


class Teams:
    """Repository of all teams; `apply` is the only way to change them."""

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock

    def read(self, team: TeamId, deadline: Instant) -> TeamRecord:
        """Return the accepted record of `team`, or raise `UnknownTeam`."""
        try:
            stored = self._store.get(_path(team), deadline)
        except StoreMissing:
            raise UnknownTeam(f"there is no team {team}") from None
        return TeamRecord.from_stored(stored)

    def diff(
        self, team: TeamId, answers: Questionnaire, deadline: Instant
    ) -> tuple[Generation, tuple[Change, ...]]:
        """Return the accepted generation and what `answers` would change in it."""
        _check_team(team, answers)
        current = self._find(team, deadline)
        return _generation(current), _changes(current, answers)

    def apply(
        self,
        team: TeamId,
        answers: Questionnaire,
        expected: Generation,
        deadline: Instant,
        write_id: WriteId | None = None,
    ) -> Accepted:
        """Accept `answers` as the generation after `expected`.

        Parameters
        ----------
        expected : Generation
            The accepted generation that `answers` are based on; 0 for a new team.
        write_id : WriteId, optional
            Name of this attempt.  If the response is lost, repeating the call with
            the same name returns the outcome.

        Raises
        ------
        InvalidSettings
            `answers` can't follow the accepted generation, or name another team.
        ApplyConflict
            Another generation than `expected` is accepted.
        StoreOutcomeUnknown
            The write was sent and its outcome can't be read before `deadline`.
        StoreUnavailable
            Nothing was changed.
        """
        _check_team(team, answers)
        write_id = write_id or new_write_id()
        current = self._find(team, deadline)
        outcome = _outcome_if_applied(current, team, answers, expected, write_id)
        if outcome is not None:
            return outcome
        _check_generation(current, answers, expected)
        record = _next_record(current, answers, write_id)
        value = record.to_value()
        _check_size(value)
        try:
            write(
                self._store,
                self._clock,
                _path(team),
                value,
                record.version,
                deadline,
            )
        except StoreConflict:
            return self._resolve_conflict(team, answers, expected, write_id, deadline)
        return Accepted(team, record.config.generation)

    def _resolve_conflict(self, team, answers, expected, write_id, deadline):
        """Return the outcome if this apply took effect despite the conflict.

        An earlier copy of the refused write may have taken effect, and may have been
        replaced before it was read back; the ids of recent writes still include it.
        Otherwise `ApplyConflict` is raised.
        """
        current = self._find(team, deadline)
        outcome = _outcome_if_applied(current, team, answers, expected, write_id)
        if outcome is not None:
            return outcome
        raise _conflict(current, answers, expected)

    def _find(self, team, deadline):
        """Return the accepted record of `team`, or None for a new team."""
        try:
            return self.read(team, deadline)
        except UnknownTeam:
            return None


def _path(team):
    """Return the key of the team's object in the store."""
    return f"{TEAMS_PREFIX}{team}"


def _generation(current):
    """Return the accepted generation, `NO_GENERATION` for a new team."""
    return NO_GENERATION if current is None else current.config.generation


def _changes(current, answers):
    """Return the differences between the accepted answers and `answers`."""
    return changes_between(current and current.questionnaire, answers)


def _next_record(current, answers, write_id):
    """Return the record that comes after `current`."""
    earlier_write_ids = () if current is None else current.recent_write_ids
    return TeamRecord(
        questionnaire=answers,
        config=generate(answers, current and current.config),
        recent_write_ids=(*earlier_write_ids, write_id)[-MAX_REMEMBERED_WRITES:],
        version=Version(0) if current is None else current.version,
    )


def _outcome_if_applied(current, team, answers, expected, write_id):
    """Return the outcome of this apply if it has taken effect, else None."""
    if current is None:
        return None
    applied_generation = Generation(expected + 1)
    if write_id in current.recent_write_ids:
        return Accepted(
            team,
            applied_generation,
            replaced=current.config.generation > applied_generation,
        )
    same_answers = current.config.questionnaire_hash == answers.digest()
    if same_answers and current.config.generation in (expected, applied_generation):
        return Accepted(team, current.config.generation)
    return None


def _check_team(team, answers):
    """Raise `InvalidSettings` if `answers` are those of another team."""
    if answers.team != team:
        raise InvalidSettings(
            f"team: {answers.team!r}: these answers are not of team {team}"
        )


def _check_size(value):
    """Raise `InvalidSettings` if the store could not hold `value`."""
    size = len(json.dumps(value).encode())
    if size > MAX_VALUE_BYTES:
        raise InvalidSettings(
            f"services: {size} bytes: the store holds {MAX_VALUE_BYTES} for each "
            "team; divide the services over two teams"
        )


def _check_generation(current, answers, expected):
    """Raise `ApplyConflict` if another generation than `expected` is accepted."""
    if _generation(current) != expected:
        raise _conflict(current, answers, expected)


def _conflict(current, answers, expected):
    """Return the exception that lists the differences from the accepted answers."""
    found = _generation(current)
    message = (
        f"you revised generation {expected}, but generation {found} is accepted; "
        "merge your changes into it and apply again"
    )
    return ApplyConflict(message, found, _changes(current, answers))
