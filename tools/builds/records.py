"""Writes and reads the examples by the code of the build that can be imported."""

from dataclasses import asdict, fields
from types import SimpleNamespace

import msgpack
from pydantic import TypeAdapter

from persimmonspoke.errors import PersimmonspokeError
from persimmonspoke.ids import Era
from persimmonspoke.internal.desk import messages as _desk  # noqa: F401
from persimmonspoke.internal.fleet import hosts
from persimmonspoke.internal.fleet.messages import HostEntry
from persimmonspoke.internal.fleet.settings import FleetSettings
from persimmonspoke.internal.news import messages as _news  # noqa: F401
from persimmonspoke.internal.peers import codec
from persimmonspoke.internal.peers.api import PeerAddress
from persimmonspoke.internal.ranges import record
from persimmonspoke.internal.store.api import StoredObject
from tools.builds.examples import (
    ADDRESS,
    ANSWERS,
    HOST,
    MESSAGES,
    OWNERSHIP,
    REFUSED,
    SUSPECT_ROW,
)

try:
    from persimmonspoke.internal.quarantine import keeping, suspects
    from persimmonspoke.internal.quarantine.settings import QuarantineSettings
except ImportError:  # builds before f4fd16b
    keeping = None

ROW_AGE = -1  # index of a field that counts from when the row is read


def known_messages() -> list[str]:
    """Return the names of the examples whose type the build has."""
    return [name for name in MESSAGES if name in codec._MESSAGE_TYPES]


def message_type(name: str) -> type:
    """Return the type of the messages called `name`."""
    entry = codec._MESSAGE_TYPES[name]
    return entry[0] if isinstance(entry, tuple) else entry.message_type


def example(name: str):
    """Return the example of one message, with the fields that the build knows."""
    known = {field.name for field in fields(message_type(name))}
    values = {k: v for k, v in MESSAGES[name].items() if k in known}
    return TypeAdapter(message_type(name)).validate_python(values)


def written(commit: str) -> dict:
    """Return all examples as the build writes them, with what it reads of them."""
    messages = {}
    for name in known_messages():
        data = codec.encode(example(name))
        messages[name] = {"bytes": data.hex(), "values": read_message(data)}
    documents = {
        key: {"value": value, "read": read_document(key, value)}
        for key, value in written_documents().items()
    }
    return {
        "commit": commit,
        "messages": messages,
        "answers": ANSWERS,
        "documents": documents,
    }


def read(recorded: dict) -> dict:
    """Return what the build reads of the documents in the output of `written`."""
    return {
        key: read_document(key, entry["value"])
        for key, entry in recorded["documents"].items()
    }


def written_documents() -> dict[str, dict]:
    """Return the values of the documents that the build stores, by key."""
    ranges = record.RangeMap(record.KeyRange(**r) for r in OWNERSHIP["ranges"])
    ownership = record.Ownership(
        leader=PeerAddress(**ADDRESS),
        epoch=OWNERSHIP["epoch"],
        services={"stock": ranges},
        write_id="w",
        serial=OWNERSHIP["serial"],
        era=Era(OWNERSHIP["era"]),
        **_later_fields(),
    )
    documents = {
        record.OWNERSHIP_KEY: record.encode(ownership),
        hosts.HOSTS_PREFIX + HOST["name"]: _hosts()._value(Era(3)),
    }
    if keeping is not None:
        documents[keeping.QUARANTINE_KEY] = _quarantine()
    return documents


def _later_fields() -> dict:
    """Return the fields of the ownership that builds before 566f3b9 do not have."""
    if not hasattr(record, "FormerLeader"):
        return {}
    former = record.FormerLeader(PeerAddress(**ADDRESS), 2.5)
    return {"former": (former,), "resolved": frozenset({"stock"})}


def read_message(data: bytes) -> dict:
    """Return what the build understands of an encoded message."""
    try:
        msg = codec.decode(data)
    except PersimmonspokeError as exc:
        return {REFUSED: f"{type(exc).__name__}: {exc}"}
    return plain(asdict(msg))


def read_document(key: str, value: dict):
    """Return what the build understands of a stored document, as plain values."""
    if key == record.OWNERSHIP_KEY:
        found = record.decode(value)
        rows = {name: ranges.ranges for name, ranges in found.services.items()}
        return plain(
            [found.leader, found.epoch, found.serial, found.era, found.write_id, rows]
        )
    stored = StoredObject(key, value, 5)
    if key.startswith(hosts.HOSTS_PREFIX):
        return plain(hosts._decode(stored))
    if keeping is None:
        return None
    return [row[:ROW_AGE] for row in keeping._rows_of(stored)]


def plain(value):
    """Return a value as JSON and msgpack show it, with bytes as hexadecimal text."""
    return _without_bytes(msgpack.unpackb(msgpack.packb(value, default=_fields)))


def _without_bytes(value):
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, list):
        return [_without_bytes(inner) for inner in value]
    if isinstance(value, dict):
        return {key: _without_bytes(inner) for key, inner in value.items()}
    return value


def _fields(value):
    return [getattr(value, field.name) for field in fields(value)]


class _StoppedClock:
    """A clock that shows no time pass, so that ages are recorded as given."""

    def now(self):
        return 0.0


class _Recorder:
    """A store that keeps the value of the last object that was written."""

    value = None

    def create(self, key, value, deadline):
        self.value = value
        return StoredObject(key, value, 1)


def _quarantine():
    """Return the copy of the refused requests that a leader stores."""
    cfg, store = QuarantineSettings(), _Recorder()
    known = suspects.Suspects(cfg, _StoppedClock())
    known.merge([SUSPECT_ROW], "example")
    link = SimpleNamespace(serve=lambda kind, handler: None)
    keeper = keeping.QuarantineKeeper(
        cfg, _StoppedClock(), link, store, None, known, None
    )
    keeper._write(known.shared_rows())
    return store.value


def _hosts():
    address = PeerAddress(**ADDRESS)
    entry = HostEntry(address, HOST["name"], HOST["data_centre"], HOST["cores"])
    return hosts.Hosts(entry, FleetSettings(), _StoppedClock(), None, None)
