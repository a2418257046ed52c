"""A client of the platform's object API over HTTP."""

import json
from urllib.parse import quote, urlencode

import urllib3
from urllib3.exceptions import HTTPError, MaxRetryError, NewConnectionError

from persimmonspoke.errors import (
    StoreCompacted,
    StoreConflict,
    StoreMissing,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from persimmonspoke.ids import Era, Instant, Version
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.store.api import Listing, StoredObject, Value

MAX_IDLE_CONNECTIONS = 8
MIN_TIMEOUT_S = 0.001
WATCH_ANSWER_MARGIN_S = 0.5

HTTP_OK = 200
HTTP_CREATED = 201
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
HTTP_TOO_MANY = 429


class HttpStore:
    """Implements `persimmonspoke.internal.store.api.Store`.

    Parameters
    ----------
    base_url : str
        Address of the object API, without a trailing slash.

    Attributes
    ----------
    calls : int
        Number of calls made so far, including watches still waiting.
    """

    era = Era(0)  # this API tells nothing of restorations
    heard_at = Instant(float("-inf"))  # not recorded

    def __init__(self, base_url: str, clock: Clock):
        self._base_url = base_url
        self._clock = clock
        self._http = urllib3.PoolManager(maxsize=MAX_IDLE_CONNECTIONS, retries=False)
        self.calls = 0

    def get(self, key: str, deadline: Instant) -> StoredObject:
        """Return the object under `key`, or raise `StoreMissing`."""
        return _stored(self._read(_object_path(key), deadline))

    def get_stale(self, key: str, deadline: Instant) -> StoredObject:
        """Return the object under `key`; this store has no cheaper reads."""
        return self.get(key, deadline)

    def list(self, prefix: str, deadline: Instant) -> Listing:
        """Return all objects whose keys start with `prefix`."""
        query = urlencode({"prefix": prefix})
        return _listing(self._read(f"/objects?{query}", deadline))

    def create(self, key: str, value: Value, deadline: Instant) -> StoredObject:
        """Create an object, or raise `StoreConflict` if it exists."""
        return self._put(key, value, {"If-None-Match": "*"}, deadline)

    def update(
        self, key: str, value: Value, version: Version, deadline: Instant
    ) -> StoredObject:
        """Replace the object if its current version is `version`."""
        return self._put(key, value, {"If-Match": str(version)}, deadline)

    def delete(self, key: str, version: Version, deadline: Instant) -> None:
        """Delete the object if its current version is `version`."""
        headers = {"If-Match": str(version)}
        self._write("DELETE", key, None, headers, deadline)

    def watch(
        self,
        prefix: str,
        revision: int,
        deadline: Instant,
        answer_deadline: Instant | None = None,
    ) -> Listing:
        """Wait for changes after `revision` and return them."""
        wait_s = max(0.0, deadline - self._clock.now())
        query = urlencode(
            {"prefix": prefix, "revision": revision, "wait_ms": int(wait_s * 1000)}
        )
        if answer_deadline is None:
            answer_deadline = Instant(deadline + WATCH_ANSWER_MARGIN_S)
        return _listing(self._read(f"/watch?{query}", answer_deadline))

    def _put(self, key, value, condition, deadline):
        """Write an object if the condition in the headers holds."""
        headers = {"Content-Type": "application/json", **condition}
        body = json.dumps(value).encode()
        return _stored(self._write("PUT", key, body, headers, deadline))

    def _read(self, path, deadline):
        """Return the JSON answer to a GET request."""
        try:
            answer = self._request("GET", path, deadline)
        except HTTPError as exc:
            raise StoreUnavailable(f"the store did not answer: {exc}") from exc
        if answer.status == HTTP_NOT_FOUND:
            raise StoreMissing(f"{path} does not exist")
        if answer.status == HTTP_GONE:
            raise StoreCompacted("the store has dropped the revision; list again")
        if answer.status != HTTP_OK:
            raise StoreUnavailable(f"the store answered {answer.status}")
        return _json(answer, StoreUnavailable)

    def _write(self, method, key, body, headers, deadline):
        """Return the JSON answer to a conditional write."""
        path = _object_path(key)
        try:
            answer = self._request(method, path, deadline, body, headers)
        except (NewConnectionError, MaxRetryError) as exc:
            raise StoreUnavailable(f"no connection to the store: {exc}") from exc
        except HTTPError as exc:
            raise StoreOutcomeUnknown(f"the store's answer was lost: {exc}") from exc
        if answer.status in (HTTP_CONFLICT, HTTP_PRECONDITION_FAILED):
            raise StoreConflict(f"{key} has a different version")
        if answer.status == HTTP_NOT_FOUND:
            raise StoreConflict(f"{key} does not exist")
        if answer.status == HTTP_TOO_MANY:
            raise StoreUnavailable("the store's rate limit rejected the call")
        if answer.status not in (HTTP_OK, HTTP_CREATED):
            raise StoreOutcomeUnknown(f"the store answered {answer.status}")
        return _json(answer, StoreOutcomeUnknown)

    def _request(self, method, path, deadline, body=None, headers=None):
        """Send one HTTP request that ends by `deadline`."""
        self.calls += 1
        left_s = max(MIN_TIMEOUT_S, deadline - self._clock.now())
        return self._http.request(
            method,
            self._base_url + path,
            body=body,
            headers=headers,
            timeout=urllib3.Timeout(total=left_s),
        )


def _object_path(key):
    """Return the URL path of an object."""
    return "/objects/" + quote(key, safe="/")


def _json(answer, failure):
    """Return the answer's JSON body, or raise `failure`."""
    try:
        return json.loads(answer.data)
    except (ValueError, RecursionError) as exc:
        raise failure("the store's answer is not JSON") from exc


def _stored(data):
    """Return the object that an item of an answer describes."""
    return StoredObject(data["key"], data["value"], data["version"])


def _listing(data):
    """Return the listing that an answer describes."""
    return Listing(tuple(_stored(item) for item in data["items"]), data["revision"])
