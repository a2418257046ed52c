"""The object in the store that names the leader and the owners of all keys.

One object holds both, so that a leader that has been replaced can't change anything:
every write is conditional on the newest version that its writer knows.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from itertools import count

from persimmonspoke.errors import MalformedDocument
from persimmonspoke.ids import Era, HostId, ServiceId, WriteId
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.ranges.ranges import KeyRange, RangeMap
from persimmonspoke.internal.store.api import Value
from persimmonspoke.internal.store.writes import WRITE_ID, new_write_id

OWNERSHIP_KEY = "persimmonspoke-ownership/main"

FENCES_PER_EPOCH = 1 << 20
"""Number of tokens that one leader may issue; all exceed its predecessors' tokens."""


EPOCHS_PER_ERA = 1 << 10  # far more takeovers than the store can forget at once


@dataclass(frozen=True, slots=True)
class FormerLeader:
    """A former leader whose orders may still have an effect.

    Attributes
    ----------
    address : PeerAddress or None
        None for a leader whose name is not known.
    left_s : float
        Longest time for which targets may hold keys by its orders, counted by a reader
        from when it has read the object: clocks of two hosts can't be compared.
    """

    address: PeerAddress | None
    left_s: float


@dataclass(frozen=True, slots=True)
class Ownership:
    """Content of the object.

    A store that was restored from an older copy may have an object that names owners
    and a leader of the past.  Its `era` is then below that of the store.

    Attributes
    ----------
    leader : PeerAddress or None
        The leader's address; None after a leader has resigned.
    epoch : int
        Number of the leadership; each takeover increases it.
    services : dict of ServiceId to RangeMap
        Ranges of each divided service whose keys have been assigned.
    serial : int
        Serial of the leader's range table when the object was written.
    era : Era
        Era of the store in which the leader took over.
    former : tuple of FormerLeader or None
        All other leaders whose orders may still have an effect, as far as the writer
        knew; None if the writer is of a build that did not write them.
    resolved : frozenset of ServiceId or None
        Services whose owners are certain, if a leader has taken over from an older copy
        and other targets may still hold keys; None if all owners are certain.
    hosts : frozenset of str or None
        Names of the hosts that the leader knew when it wrote the object; None if the
        writer is of a build that did not write them.
    """

    leader: PeerAddress | None
    epoch: int
    services: dict[ServiceId, RangeMap] = field(default_factory=dict)
    write_id: WriteId = WriteId("")
    serial: int = 0
    era: Era = Era(0)
    former: tuple[FormerLeader, ...] | None = ()
    resolved: frozenset[ServiceId] | None = None
    hosts: frozenset[str] | None = None

    def epoch_in(self, era: Era) -> int:
        """Return an epoch in `era` above all that leaders can have had before it.

        The store may have forgotten some leaders since this ownership was written.
        """
        return self.epoch + EPOCHS_PER_ERA * (era - self.era)

    def led_by(self, leader: PeerAddress | None, epoch: int) -> "Ownership":
        """Return the same ownership under `leader` and `epoch`.

        The serial starts again at 0 in a new epoch.
        """
        serial = self.serial if epoch == self.epoch else 0
        return replace(
            self,
            leader=leader,
            epoch=epoch,
            serial=serial,
            write_id=new_write_id(),
        )

    def refenced(self) -> "Ownership":
        """Return the ownership with a new fence of its epoch for each range.

        A new leader doesn't know which orders of its predecessor have failed; after a
        failure another process may listen at the address of an owner.
        """
        fences = count(self.epoch * FENCES_PER_EPOCH + 1)
        services = {
            service: RangeMap(replace(r, fence=next(fences)) for r in ranges.ranges)
            for service, ranges in self.services.items()
        }
        return replace(self, services=services)

    def with_ranges(
        self, service: ServiceId, ranges: RangeMap, serial: int
    ) -> "Ownership":
        """Return the ownership with the ranges of one service replaced."""
        services = {**self.services, service: ranges}
        return replace(self, services=services, serial=serial, write_id=new_write_id())

    def with_resolved(
        self, service: ServiceId, divided: Iterable[ServiceId]
    ) -> "Ownership":
        """Return the ownership with certain owners of `service`.

        Parameters
        ----------
        divided : iterable of ServiceId
            All services that are divided; once all are resolved, no doubt is left.
        """
        if self.resolved is None:
            return self
        resolved = self.resolved | {service}
        if resolved.issuperset(divided):
            resolved = None
        return replace(self, resolved=resolved, write_id=new_write_id())


def encode(ownership: Ownership) -> Value:
    """Return `ownership` as the value of a stored object."""
    return {
        WRITE_ID: ownership.write_id,
        "leader": _address_row(ownership.leader),
        "epoch": ownership.epoch,
        "serial": ownership.serial,
        "era": ownership.era,
        "former": [
            [_address_row(former.address), _rounded_up(former.left_s)]
            for former in ownership.former or ()
        ],
        "resolved": (
            None if ownership.resolved is None else sorted(ownership.resolved)
        ),
        "hosts": None if ownership.hosts is None else sorted(ownership.hosts),
        "services": {
            service: [
                [r.first, r.last, r.owner, r.born_ms, r.fence, r.handover]
                for r in ranges.ranges
            ]
            for service, ranges in ownership.services.items()
        },
    }


def decode(value: Value) -> Ownership:
    """Return the ownership that the value of a stored object describes.

    Raises
    ------
    MalformedDocument
        Another writer has stored something else.  No default can take its place: keys
        could get a second owner.
    """
    try:
        services = {
            ServiceId(service): RangeMap(_key_range(row) for row in rows)
            for service, rows in value["services"].items()
        }
        era = Era(_number(value.get("era", 0)))
        if "resolved" in value:
            resolved = _resolved(value["resolved"])
        else:
            resolved = _resolved_by_older_build(services, era)
        return Ownership(
            leader=_address(value["leader"]),
            epoch=_number(value["epoch"]),
            services=services,
            write_id=WriteId(value[WRITE_ID]),
            serial=_number(value["serial"]),
            era=era,
            resolved=resolved,
            former=_former(value["former"]) if "former" in value else None,
            hosts=_hosts(value.get("hosts")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise MalformedDocument(f"the ownership can't be read: {exc!r}") from exc


def _address_row(address):
    return [address.host_id, address.ip, address.port] if address else None


def _address(row):
    if row is None:
        return None
    host_id, ip, port = row
    return PeerAddress(HostId(_text(host_id)), _text(ip), _number(port))


def _former(rows):
    return tuple(FormerLeader(_address(row), _duration(left)) for row, left in rows)


def _resolved(names):
    if names is None:
        return None
    return frozenset(ServiceId(_text(name)) for name in names)


def _hosts(names):
    return None if names is None else frozenset(_text(name) for name in names)


def _resolved_by_older_build(services, era):
    """Return the services with certain owners in an object that does not name them.

    Before a leader in doubt counts the owners of a service as certain, it grants all of
    its ranges under fences of the present era.
    """
    if era == 0:
        return None
    first = EPOCHS_PER_ERA * era * FENCES_PER_EPOCH
    return frozenset(
        service
        for service, ranges in services.items()
        if all(entry.fence > first for entry in ranges.ranges)
    )


def _rounded_up(seconds):
    """Return a duration in whole milliseconds, never a shorter one."""
    return math.ceil(seconds * 1000) / 1000


def _duration(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a duration")
    if not 0 <= value < math.inf:
        raise ValueError(f"{value!r} is not a duration")
    return float(value)


def _key_range(row):
    first, last, owner, born_ms, fence, handover = row
    for value in (first, last, born_ms, fence):
        _number(value)
    return KeyRange(first, last, owner, born_ms, fence, handover)


def _number(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not an integer")
    return value


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value
