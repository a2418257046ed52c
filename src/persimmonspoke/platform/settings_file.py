"""Reads the settings file that the platform writes for each process.

Lines have the form ``a.b=value``; the items of a list are separated by commas.
Unknown names are ignored, because the platform may add names at any time.
"""

import logging
import math
import os
import pathlib
import re
from dataclasses import dataclass

from persimmonspoke.errors import InvalidSettings
from persimmonspoke.ids import DataCentreId

log = logging.getLogger(__name__)

MAX_PORT = 65535
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)

SETTINGS_VARIABLE = "PERSIMMONSPOKE_BOOT"


@dataclass(frozen=True, slots=True)
class PlatformBounds:
    """Limits set by the platform's operators; times are in seconds.

    Attributes
    ----------
    drain_s : float
        Maximum time during which a leaving target may still get new requests.
    config_apply_s : float
        Maximum time after which a stored configuration is in force everywhere.
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
    evacuate_s : float or None
        Maximum time after which the targets of an evacuated data centre get no
        requests; None if data centres are never evacuated.
    warmup_overage, warmup_slack : float
        A cold target may get `warmup_overage` times the requests that its service
        names, and `warmup_slack` more, in any one second.
    """

    drain_s: float = 2.0
    config_apply_s: float = 2.0
    grace_s: float = 6.0
    hold_max_s: float = 10.0
    retry_ratio: float = 0.2
    retry_floor: int = 50
    retry_window_s: float = 10.0
    evacuate_s: float | None = None
    # The strictest values, for settings that name none.
    warmup_overage: float = 1.0
    warmup_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class HostLimits:
    """What the machine gives to the process.

    Attributes
    ----------
    cores : float
        Processor time per second, as a number of cores.
    memory_mb : float
        Memory above which the process is killed.
    max_fds : int
        Number of file descriptors.
    """

    cores: float = 1.0
    memory_mb: float = 300.0
    max_fds: int = 4096


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
    first_start : bool
        Whether the whole system starts for the first time.
    """

    host: str
    ip: str
    data_centre: DataCentreId
    caller_port: int
    ready_port: int
    peer_port: int
    store_address: str
    bounds: PlatformBounds
    limits: HostLimits = HostLimits()
    first_start: bool = False


def _positive(text):
    number = float(text)
    if not (math.isfinite(number) and number > 0):
        raise ValueError(f"{text!r} is not a finite number above 0")
    return number


def _not_negative(text):
    number = float(text)
    if not (math.isfinite(number) and number >= 0):
        raise ValueError(f"{text!r} is not a finite number of at least 0")
    return number


def _share(text):
    number = float(text)
    if not 0 <= number <= 1:
        raise ValueError(f"{text!r} is not between 0 and 1")
    return number


def _count(text):
    number = float(text)
    if not (math.isfinite(number) and number >= 0):
        raise ValueError(f"{text!r} is not a count")
    return int(number)


_BOUND_FIELDS = {
    "drain_s": ("drain_s", _positive),
    "config_apply_s": ("config_apply_s", _positive),
    "grace_s": ("grace_s", _positive),
    "hold_max_s": ("hold_max_s", _positive),
    "retry_budget_ratio": ("retry_ratio", _share),
    "retry_budget_min": ("retry_floor", _count),
    "budget_window_s": ("retry_window_s", _positive),
    "evacuate_s": ("evacuate_s", _positive),
    "warmup_overage": ("warmup_overage", _positive),
    "warmup_slack": ("warmup_slack", _not_negative),
}

_LIMIT_FIELDS = {
    "limits.memory_mb": ("memory_mb", _positive),
    "limits.max_fds": ("max_fds", _count),
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
            peer_port=_port(fields["internal_ports"].split(",")[0]),
            store_address=fields["platform.address"],
            bounds=_bounds(fields.get("bounds", "")),
            limits=_limits(fields),
            first_start=fields.get("bootstrap", "").lower() == "true",
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
    text = address.rpartition(":")[2]
    if not (_PORT.fullmatch(text) and 0 < int(text) <= MAX_PORT):
        raise ValueError(f"{text[:20]!r} is not a port from 1 to {MAX_PORT}")
    return int(text)


def _bounds(text):
    pairs = (part.partition("=") for part in text.split(","))
    return PlatformBounds(**_converted(_BOUND_FIELDS, {n: v for n, _, v in pairs}))


def _limits(fields):
    found = _converted(_LIMIT_FIELDS, fields)
    # The processor gives `cpu_share` of a core that is `cores` times as fast.
    parts = {"limits.cpu_share": ("share", _positive), "limits.cores": ("n", _positive)}
    cores = _converted(parts, fields)
    if cores:
        found["cores"] = cores.get("share", 1.0) * cores.get("n", 1.0)
    return HostLimits(**found)


def _converted(converters, texts):
    """Return the values that can be read, by field; log the others."""
    found = {}
    for name, (field, convert) in converters.items():
        if name not in texts:
            continue
        try:
            found[field] = convert(texts[name])
        except ValueError as exc:
            log.warning(
                "settings: value can't be read, the default is used",
                extra={"setting": name, "value": texts[name], "reason": str(exc)},
            )
    return found
