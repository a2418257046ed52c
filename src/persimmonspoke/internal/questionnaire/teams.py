"""Teams as the store keeps them: questionnaire and configuration, changed as one."""

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
        The generation that the apply made, or found to hold the same answers.
    replaced : bool
        Whether a later generation has been accepted since.
    """

    team: TeamId
    generation: Generation
    replaced: bool = False


class Teams:
    """Repository of all teams, and the one way to change them."""

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock

    def read(self, team: TeamId, deadline: Instant) -> TeamRecord:
        """Return the accepted state of `team`, or raise `UnknownTeam`."""
        try:
            stored = self._store.get(_path(team), deadline)
        except StoreMissing:
            raise UnknownTeam(f"there is no team {team}") from None
        return TeamRecord.from_stored(stored)

    def diff(
        self, team: TeamId, answers: Questionnaire, deadline: Instant
    ) -> tuple[Generation, tuple[Change, ...]]:
        """Return the accepted generation and what `answers` would change in it."""
        _refuse_other_team(team, answers)
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
            The accepted generation that the operator revised; 0 for a new team.
        write_id : WriteId, optional
            Name of this attempt.  An operator whose answer was lost repeats the
            call under the same name and learns what became of it.

        Raises
        ------
        InvalidSettings
            `answers` can't follow the accepted generation, or name another team.
        ApplyConflict
            Another generation than `expected` is accepted.
        StoreOutcomeUnknown
            The write was sent and its fate can't be read before `deadline`.
        StoreUnavailable
            Nothing was changed.
        """
        _refuse_other_team(team, answers)
        write_id = write_id or new_write_id()
        current = self._find(team, deadline)
        done = _already_done(current, team, answers, expected, write_id)
        if done is not None:
            return done
        _refuse_other_generation(current, answers, expected)
        record = _following(current, answers, write_id)
        value = record.to_value()
        _refuse_too_large(value)
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
            return self._settle(team, answers, expected, write_id, deadline)
        return Accepted(team, record.config.generation)

    def _settle(self, team, answers, expected, write_id, deadline):
        """Find out whether a refused write is ours, from an earlier copy of it.

        A copy may have taken effect and been replaced before it was read back; the
        ids of recent writes then still hold it.
        """
        current = self._find(team, deadline)
        done = _already_done(current, team, answers, expected, write_id)
        if done is not None:
            return done
        raise _conflict(current, answers, expected)

    def _find(self, team, deadline):
        """Return the accepted state of `team`, or None."""
        try:
            return self.read(team, deadline)
        except UnknownTeam:
            return None


def _path(team):
    """Return the key of the team's object in the store."""
    return f"{TEAMS_PREFIX}{team}"


def _generation(current):
    """Return the accepted generation."""
    return NO_GENERATION if current is None else current.config.generation


def _changes(current, answers):
    """Return what `answers` would change."""
    return changes_between(current and current.questionnaire, answers)


def _following(current, answers, write_id):
    """Return the record that comes after `current`."""
    earlier = () if current is None else current.recent_write_ids
    return TeamRecord(
        questionnaire=answers,
        config=generate(answers, current and current.config),
        recent_write_ids=(*earlier, write_id)[-MAX_REMEMBERED_WRITES:],
        version=Version(0) if current is None else current.version,
    )


def _already_done(current, team, answers, expected, write_id):
    """Return the outcome of this apply if it has taken effect, else None."""
    if current is None:
        return None
    made = Generation(expected + 1)
    if write_id in current.recent_write_ids:
        return Accepted(team, made, replaced=current.config.generation > made)
    same_answers = current.config.questionnaire_hash == answers.digest()
    if same_answers and current.config.generation in (expected, made):
        return Accepted(team, current.config.generation)
    return None


def _refuse_other_team(team, answers):
    """Raise `InvalidSettings` if `answers` are those of another team."""
    if answers.team != team:
        raise InvalidSettings(f"team: {answers.team!r}: these answers are not {team}'s")


def _refuse_too_large(value):
    """Raise `InvalidSettings` if the store could not hold `value`."""
    size = len(json.dumps(value).encode())
    if size > MAX_VALUE_BYTES:
        raise InvalidSettings(
            f"services: {size} bytes: the store holds {MAX_VALUE_BYTES} for each "
            "team; divide the services over two teams"
        )


def _refuse_other_generation(current, answers, expected):
    """Raise `ApplyConflict` if another generation than `expected` is accepted."""
    if _generation(current) != expected:
        raise _conflict(current, answers, expected)


def _conflict(current, answers, expected):
    """Return the failure that tells an operator what another one has changed."""
    found = _generation(current)
    message = (
        f"you revised generation {expected}, but generation {found} is accepted; "
        "merge your changes into it and apply again"
    )
    return ApplyConflict(message, found, _changes(current, answers))
