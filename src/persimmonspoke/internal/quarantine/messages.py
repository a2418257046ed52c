"""Messages about requests under which targets end."""

from dataclasses import dataclass

from persimmonspoke.ids import Fingerprint
from persimmonspoke.internal.peers.codec import flat_message, message


@flat_message
@dataclass(frozen=True, slots=True)
class SuspectsChanged:
    """The leader tells the hosts of requests that it knows more of.

    Attributes
    ----------
    rows : list of list
        Fields of `SuspectRow`.
    """

    rows: list


@message
@dataclass(frozen=True, slots=True)
class TrialClaim:
    """Ask the leader to allow one trial of a request that is refused.

    Attributes
    ----------
    trials : int
        Number of trials before this one.
    """

    fingerprint: Fingerprint
    trials: int


@message
@dataclass(frozen=True, slots=True)
class TrialAnswer:
    """The answer to `TrialClaim`."""

    allowed: bool


@dataclass(frozen=True, slots=True)
class SuspectRow:
    """What one host knows of a request under which targets end.

    Attributes
    ----------
    answered : int
        How often the request was answered after targets had ended under it; only the
        crashes since the last time count.
    crashes : list of str
        Incarnations of the targets that ended since.
    trials : int
        Number of trials since.
    shared : bool
        Whether all hosts should know of the request, not only the leader.
    age_s : float
        Time since the last crash, trial or answer.
    """

    fingerprint: Fingerprint
    answered: int
    crashes: list
    trials: int
    shared: bool
    age_s: float


def row_fields(row: SuspectRow) -> list:
    """Return the fields of a row as plain values."""
    crashes = sorted(row.crashes)
    age_s = round(row.age_s, 3)
    return [
        row.fingerprint,
        row.answered,
        crashes,
        row.trials,
        row.shared,
        age_s,
    ]
