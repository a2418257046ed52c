"""The platform's list of live and leaving hosts."""

import json
import logging

import urllib3
from urllib3.exceptions import HTTPError

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock

REFRESH_PERIOD_S = 2.0
TIMEOUT_S = 2.0

_UNREADABLE = (ValueError, KeyError, TypeError, RecursionError)

log = logging.getLogger(__name__)


class HttpHostList:
    """Refreshes the platform's list of hosts periodically over HTTP.

    The list lags behind reality.  A host that it never contained may be new; a host
    that it contained once and does not contain now has been removed.
    """

    def __init__(self, base_url: str, clock: Clock):
        self._url = base_url + "/hosts"
        self._clock = clock
        self._http = urllib3.PoolManager(maxsize=1, retries=False)
        self._seen: set[str] = set()
        self._live: set[str] = set()
        self._leaving: set[str] = set()

    def is_removed(self, host: str) -> bool:
        """Return whether `host` was on the list and is not any more."""
        return host in self._seen and host not in self._live | self._leaving

    def leaving(self, host: str) -> bool:
        """Return whether the platform is about to remove `host`."""
        return host in self._leaving

    def run(self) -> None:
        """Read the list periodically until the task is killed."""
        while True:
            try:
                self._read()
            except (HTTPError, *_UNREADABLE) as exc:
                log.info("hosts: the list is silent", extra={"cause": str(exc)[:200]})
            self._clock.sleep_until(Instant(self._clock.now() + REFRESH_PERIOD_S))

    def _read(self):
        """Read the current list."""
        answer = self._http.request("GET", self._url, timeout=TIMEOUT_S)
        if answer.status != 200:
            raise ValueError(f"the platform answered {answer.status}")
        data = json.loads(answer.data)
        self._live = set(data["live"])
        self._leaving = set(data["leaving"])
        self._seen |= self._live | self._leaving
