"""Peer messages by which entry hosts exchange their status for operators."""

from dataclasses import dataclass

from persimmonspoke.ids import DataCentreId, Generation, HostId, TeamId
from persimmonspoke.internal.peers.codec import message


@dataclass(frozen=True, slots=True)
class TeamGeneration:
    """The generation of one team that a host has in force."""

    team: TeamId
    generation: Generation


@dataclass(frozen=True, slots=True)
class HostStatus:
    """The status of one entry host, as reported by itself.

    Attributes
    ----------
    ready : bool
        Whether it accepts new requests.
    draining : bool
        Whether an operator has drained it, or it is stopping.
    in_force : tuple of TeamGeneration
        One entry per team.
    """

    host_id: HostId
    data_centre: DataCentreId
    ready: bool
    draining: bool
    in_force: tuple[TeamGeneration, ...]


@message
@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks an entry host for its status."""


@message
@dataclass(frozen=True, slots=True)
class StatusReply:
    """The answer to `StatusRequest`."""

    status: HostStatus
