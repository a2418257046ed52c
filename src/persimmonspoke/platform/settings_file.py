"""Reads the settings file that the platform writes for each process.

Lines have the form ``a.b=value``; the items of a list are separated by commas.
Unknown names are ignored, because the platform may add names at any time.
"""

import os
import pathlib
from dataclasses import dataclass

from persimmonspoke.errors import InvalidSettings
from persimmonspoke.ids import DataCentreId

SETTINGS_VARIABLE = "PERSIMMONSPOKE_BOOT"


@dataclass(frozen=True, slots=True)
class PlatformBounds:
    """Limits set by the platform's operators; times are in seconds.

    Attributes
    ----------
    drain_s : float
        Maximum time during which a leaving target may still get new requests.
    grace_s : float
        Time from SIGTERM to SIGKILL.
    hold_max_s : float
        Maximum duration of a grant of keys.
    retry_ratio : float
        Retries allowed, as a share of all requests.
    retry_floor : int
        Retries allowed in each window in addition to that share.
    retry_window_s : float
        Length of that window.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    hold_max_s: float = 10.0
    retry_ratio: float = 0.2
    retry_floor: int = 50
    retry_window_s: float = 10.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings that the platform gives to one process at its start.

    Attributes
    ----------
    host : str
        Name of the machine; the same at each start.
    caller_port, ready_port : int
        Ports for callers, and for readiness checks by the load balancer.
    peer_port : int
        First of the ports reserved for traffic between hosts.
    store_address : str
        IP address and port of the object store.
    """

    host: str
    ip: str
    data_centre: DataCentreId
    caller_port: int
    ready_port: int
    peer_port: int
    store_address: str
    bounds: PlatformBounds


_BOUND_FIELDS = {
    "drain_s": ("drain_s", float),
    "grace_s": ("grace_s", float),
    "hold_max_s": ("hold_max_s", float),
    "retry_budget_ratio": ("retry_ratio", float),
    "retry_budget_min": ("retry_floor", lambda text: int(float(text))),
    "budget_window_s": ("retry_window_s", float),
}


def settings_path() -> pathlib.Path:
    """Return the path of the settings file, from the environment."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise InvalidSettings(
            f"{SETTINGS_VARIABLE} is not set; it must hold the settings file's path"
        )
    return pathlib.Path(path)


def read_settings(text: str) -> PlatformSettings:
    """Return the settings in `text`, or raise `InvalidSettings`."""
    fields = dict(_pairs(text))
    try:
        return PlatformSettings(
            host=fields["node_name"],
            ip=fields["ip"],
            data_centre=DataCentreId(fields["zone"]),
            caller_port=_port(fields["listen.front"]),
            ready_port=_port(fields["listen.ready"]),
            peer_port=int(fields["internal_ports"].split(",")[0]),
            store_address=fields["platform.address"],
            bounds=_bounds(fields.get("bounds", "")),
        )
    except KeyError as exc:
        raise InvalidSettings(f"{exc.args[0]} is missing; add it to the file") from exc
    except ValueError as exc:
        raise InvalidSettings(f"a value can't be read: {exc}; correct it") from exc


def _pairs(text):
    for line in text.splitlines():
        name, equals, value = line.strip().partition("=")
        if equals and not name.startswith("#"):
            yield name.strip(), value.strip()


def _port(address):
    return int(address.rpartition(":")[2])


def _bounds(text):
    found = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        if name in _BOUND_FIELDS:
            field, convert = _BOUND_FIELDS[name]
            found[field] = convert(value)
    return PlatformBounds(**found)
