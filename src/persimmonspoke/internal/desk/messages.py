"""Messages between hosts and the desks that lend them slots.

All but the comparison of notes are sent without an answer; what is lost is mended
by the next comparison.  They are flat, since each request makes three of them.
"""

from dataclasses import dataclass

from persimmonspoke.ids import DataCentreId, HostId, ServiceId, TargetId
from persimmonspoke.internal.peers.codec import flat_message


@flat_message
@dataclass(frozen=True, slots=True)
class Ask:
    """A request wants a slot.

    Attributes
    ----------
    serial : int
        Number of the request on its host.
    rank : int
        Whose turn comes first; 0 goes first.
    kind : str
        Requests of one kind take about the same time.
    objective_left_s, left_s : float
        Time until the request's objective, which may have passed, and until its
        deadline.
    owner : TargetId or None
        The only target that will do, if only one will.
    avoid : list of TargetId
        Targets that the request has tried.
    """

    host: HostId
    data_centre: DataCentreId
    service: ServiceId
    serial: int
    rank: int
    kind: str
    objective_left_s: float
    left_s: float
    owner: TargetId | None
    avoid: list


@flat_message
@dataclass(frozen=True, slots=True)
class Lent:
    """A request may use one slot of a target.

    Attributes
    ----------
    usual_s : float
        How long an answer of the target usually takes.
    """

    desk: HostId
    serial: int
    target: TargetId
    usual_s: float


@flat_message
@dataclass(frozen=True, slots=True)
class Refused:
    """A request can't be served in time.

    Attributes
    ----------
    retry_after_s : float
        When a repeat has better chances.
    wait_s : float
        The wait that was expected.
    """

    desk: HostId
    serial: int
    retry_after_s: float
    wait_s: float


@flat_message
@dataclass(frozen=True, slots=True)
class Done:
    """A request has given its slot back, or waits no more.

    Attributes
    ----------
    outcome : str
        Value of a `SlotOutcome`.
    took_s : float
        How long it used the slot.
    """

    host: HostId
    service: ServiceId
    serial: int
    outcome: str
    took_s: float


@flat_message
@dataclass(frozen=True, slots=True)
class Notes:
    """All that a host has open at one desk.

    Attributes
    ----------
    in_use : list of (int, TargetId, str)
        Serials of requests that use slots, their targets and their kinds.
    waiting : list of int
        Serials of requests that wait.
    """

    host: HostId
    service: ServiceId
    in_use: list
    waiting: list


@flat_message
@dataclass(frozen=True, slots=True)
class NotesSeen:
    """The answer to `Notes`.

    Attributes
    ----------
    unknown : list of int
        Waiting requests that the desk has not heard of, or has forgotten.
    """

    unknown: list
