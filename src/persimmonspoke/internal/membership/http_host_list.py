"""The platform's list of live and leaving hosts."""

import json
import logging

import urllib3
from urllib3.exceptions import HTTPError

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock

PERIOD_S = 2.0
TIMEOUT_S = 2.0

log = logging.getLogger(__name__)


class HttpHostList:
    """Follows the platform's list of hosts by asking for it now and then.

    The list lags.  A host that it never named may be new; one that it named once and
    names no longer is gone.
    """

    def __init__(self, base_url: str, clock: Clock):
        self._url = base_url + "/hosts"
        self._clock = clock
        self._http = urllib3.PoolManager(maxsize=1, retries=False)
        self._seen: set[str] = set()
        self._live: set[str] = set()
        self._leaving: set[str] = set()

    def is_removed(self, host: str) -> bool:
        """Return whether the list has dropped `host` after naming it."""
        return host in self._seen and host not in self._live | self._leaving

    def leaving(self, host: str) -> bool:
        """Return whether the platform is about to take `host` away."""
        return host in self._leaving

    def run(self) -> None:
        """Read the list for as long as the task lives."""
        while True:
            try:
                self._read()
            except (HTTPError, ValueError, KeyError) as exc:
                log.info("hosts: the list is silent", extra={"cause": str(exc)})
            self._clock.sleep_until(Instant(self._clock.now() + PERIOD_S))

    def _read(self):
        """Take in the list as it is now."""
        answer = self._http.request("GET", self._url, timeout=TIMEOUT_S)
        if answer.status != 200:
            raise ValueError(f"the platform answered {answer.status}")
        data = json.loads(answer.data)
        self._live = set(data["live"])
        self._leaving = set(data["leaving"])
        self._seen |= self._live | self._leaving
