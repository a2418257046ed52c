"""Messages between hosts and the desks that assign slots to their requests.

All except `Notes` are sent without an answer; the next `Notes` repairs the effects
of a lost message.  They are flat because each request sends three of them.
"""

from dataclasses import dataclass, field

from persimmonspoke.ids import DataCentreId, HostId, ServiceId, TargetId
from persimmonspoke.internal.peers.codec import flat_message
from persimmonspoke.internal.peers.revisions import Revision, since


@flat_message
@dataclass(frozen=True, slots=True)
class Ask:
    """A host asks a desk for a slot for one request.

    Attributes
    ----------
    serial : int
        Number of the request on its host.
    rank : int
        Priority of the request; 0 is served first.
    kind : str
        Requests of one kind take about the same time.
    objective_left_s, left_s : float
        Time until the request's objective, which may have passed, and until its
        deadline.
    owner : TargetId or None
        The owner of the request's key, the only acceptable target; None if any
        target of the service is acceptable.
    avoid : list of TargetId
        Targets to use only if no other is usable, such as leaving ones and those
        that the request has tried.
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
    """A desk assigns one slot of a target to a request.

    Attributes
    ----------
    usual_s : float
        How long the target typically takes to answer a request of this kind.
    """

    desk: HostId
    serial: int
    target: TargetId
    usual_s: float


@flat_message
@dataclass(frozen=True, slots=True)
class Refused:
    """A desk refuses a request that it can't serve in time.

    Attributes
    ----------
    retry_after_s : float
        Time after which a retry is more likely to be served.
    wait_s : float
        The expected wait for a slot; -1 if it is unknown.
    """

    desk: HostId
    serial: int
    retry_after_s: float
    wait_s: float


@flat_message
@dataclass(frozen=True, slots=True)
class Done:
    """A request has released its slot, or no longer waits for one.

    Attributes
    ----------
    outcome : str
        Value of a `SlotOutcome`.
    took_s : float
        How long the request used the slot; 0 if it had none.
    rate_limit_per_s : float or None
        Rate limit of the target, `UNLIMITED` if it has ended; None if the request
        showed nothing about it.
    load : (int, int, int, float or None, float) or None
        Fields of the target's newest `LoadFigures`, and their age in seconds; None if
        it has named none recently.
    warmup : (int, float) or None
        The start of the target, in Unix milliseconds, and for how many seconds it may
        stay cold; None if the host does not know that it is cold.
    """

    host: HostId
    service: ServiceId
    serial: int
    outcome: str
    took_s: float
    rate_limit_per_s: float | None = None
    load: list | None = field(default=None, metadata=since(Revision.HEAVY_LOAD))
    warmup: list | None = field(default=None, metadata=since(Revision.HEAVY_LOAD))


@flat_message
@dataclass(frozen=True, slots=True)
class Notes:
    """All requests of a host that wait at one desk or use its slots.

    Attributes
    ----------
    in_use : list of (int, TargetId, str)
        Serials of requests that use slots, with their targets and kinds.
    waiting : list of int
        Serials of requests that wait for a slot.
    rate_limits : list of (TargetId, float, float)
        For a desk that the host has not told yet: targets with the rate limit that
        each named last, in requests a second, and the time since then.
    cold : list of (TargetId, int, float)
        For such a desk: targets that may be cold, their starts in Unix milliseconds,
        and for how many seconds they may stay so.
    """

    host: HostId
    service: ServiceId
    in_use: list
    waiting: list
    rate_limits: list = field(default_factory=list)
    cold: list = field(default_factory=list, metadata=since(Revision.HEAVY_LOAD))


@flat_message
@dataclass(frozen=True, slots=True)
class NotesSeen:
    """The answer to `Notes`.

    Attributes
    ----------
    unknown : list of int
        Serials of waiting requests that the desk does not know.
    """

    unknown: list
