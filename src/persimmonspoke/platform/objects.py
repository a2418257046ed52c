"""A client of the platform's object store that implements the project's `Store`.

A key of the `Store` is an object's kind and name joined by a slash, and a prefix is a
kind followed by a slash.  The value is stored in the object's ``spec``.
"""

import json
import logging
import re
import socket
from dataclasses import dataclass, replace
from urllib.parse import quote, urlencode

import eventlet
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError

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
from persimmonspoke.platform.pages import (
    MAX_INT,
    Unreadable,
    check_name,
    decode_page,
    usable,
)

# One connection for each watch, one for the leader, and some for retries.
MAX_IDLE_CONNECTIONS = 8
MIN_TIMEOUT_S = 0.001
READ_BYTES = 1 << 14  # 26 ms of a link of 5 Mbit/s
MAX_ANSWER_BYTES = 16 << 20  # a page of a listing has about 1 MB
# Number that rises each time the store comes back from an older copy.
ERA = "Store-Era"

MAX_LOGGED = 512  # items that can't be read, each of which is logged once
MAX_SHOWN_CHARS = 80

_ITEM_ERRORS = (KeyError, TypeError, IndexError, AttributeError, Unreadable)
_ERA_NUMBER = re.compile(r"[0-9]{1,18}", re.ASCII)

log = logging.getLogger(__name__)

# Time for a slow store to answer a watch, in addition to the requested wait.
WATCH_ANSWER_MARGIN_S = 1.5

# Detects within about 3 s that a peer has disappeared without a reset.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)


class ObjectStore:
    """Implements `persimmonspoke.internal.store.api.Store`.

    Parameters
    ----------
    address : str
        IP address and port of the store.

    Attributes
    ----------
    calls : int
        Number of calls made so far, including watches still waiting.
    era : Era
        Highest era that any answer has named.
    heard_at : Instant
        When the latest part of an answer with data arrived.
    """

    def __init__(self, address: str, clock: Clock):
        self._base_url = f"http://{address}"
        self._clock = clock
        self._http = urllib3.PoolManager(
            maxsize=MAX_IDLE_CONNECTIONS,
            retries=False,
            socket_options=[*HTTPConnection.default_socket_options, *KEEPALIVE_OPTIONS],
        )
        self.calls = 0
        self.era = Era(0)
        self.heard_at = Instant(float("-inf"))
        self._logged: set[tuple[str, str]] = set()

    def get(self, key: str, deadline: Instant) -> StoredObject:
        """Return the object under `key`, or raise `StoreMissing`."""
        return self._read_object(key, _object_path(key), deadline)

    def get_stale(self, key: str, deadline: Instant) -> StoredObject:
        """Return a version of the object that may be seconds old.

        Such a call costs a tenth of another one.
        """
        path = f"{_object_path(key)}?{urlencode({'allow_stale': 1})}"
        return self._read_object(key, path, deadline)

    def _read_object(self, key, path, deadline):
        page, era = self._read(path, deadline)
        return _whole_object(key, page, era, StoreUnavailable)

    def list(self, prefix: str, deadline: Instant) -> Listing:
        """Return all objects of one kind."""
        kind = prefix.rstrip("/")
        items, after, revision, first_era = [], None, None, None
        while True:
            query = "" if after is None else "?" + urlencode({"after": after})
            page, era = self._read(f"/objects/{quote(kind)}{query}", deadline)
            rows = _list_of(page, "items")
            items += self._readable(_stored, kind, rows, era)
            if revision is None:
                # A watch from the first page's revision also returns the changes made
                # while later pages are read.
                revision, first_era = _revision(page), era
            elif era != first_era:
                raise StoreUnavailable("the store was restored between two pages")
            if not page.get("has_more") or not rows:
                return Listing(tuple(items), revision, era)
            after = _last_name(rows)

    def create(self, key: str, value: Value, deadline: Instant) -> StoredObject:
        """Create an object, or raise `StoreConflict` if it exists."""
        kind, _, name = key.partition("/")
        body = {"metadata": {"name": name, "finalizers": []}, "spec": value}
        return self._write("POST", f"/objects/{quote(kind)}", key, body, deadline)

    def update(
        self, key: str, value: Value, version: Version, deadline: Instant
    ) -> StoredObject:
        """Replace the object if its current version is `version`."""
        name = key.partition("/")[2]
        meta = {"name": name, "revision": version, "finalizers": []}
        body = {"metadata": meta, "spec": value}
        return self._write("PUT", _object_path(key), key, body, deadline)

    def delete(self, key: str, version: Version, deadline: Instant) -> None:
        """Delete the object if its current version is `version`."""
        path = f"{_object_path(key)}?{urlencode({'revision': version})}"
        self._write("DELETE", path, key, None, deadline)

    def watch(
        self,
        prefix: str,
        revision: int,
        deadline: Instant,
        answer_deadline: Instant | None = None,
    ) -> Listing:
        """Wait for changes to objects of one kind after `revision`; return them."""
        kind = prefix.rstrip("/")
        wait_ms = max(0, int((deadline - self._clock.now()) * 1000))
        query = urlencode({"watch": revision, "wait_ms": wait_ms})
        if answer_deadline is None:
            answer_deadline = Instant(deadline + WATCH_ANSWER_MARGIN_S)
        page, era = self._read(f"/objects/{quote(kind)}?{query}", answer_deadline)
        items = self._readable(_event, kind, _list_of(page, "events"), era)
        return Listing(tuple(items), _revision(page), era)

    def _readable(self, convert, kind, rows, era):
        """Return the rows as objects, without those that can't be read."""
        found = []
        for row in rows:
            try:
                found.append(convert(kind, row, era))
            except _ITEM_ERRORS as exc:
                self._log_unreadable(kind, row, exc)
        return found

    def _log_unreadable(self, kind, row, exc):
        """Log that a row can't be read, once for as long as it stands."""
        item = row.get("object", row) if isinstance(row, dict) else row
        shown = repr(usable(item))[:MAX_SHOWN_CHARS]
        if (kind, shown) in self._logged:
            return
        if len(self._logged) >= MAX_LOGGED:
            self._logged.clear()
        self._logged.add((kind, shown))
        log.warning(
            "store: item can't be read",
            extra={
                "kind": kind,
                "reason": f"{type(exc).__name__}: {exc}"[:MAX_SHOWN_CHARS],
                "value": shown,
            },
        )

    def _read(self, path, deadline):
        """Return the JSON answer to a GET request, and the era of the answer."""
        try:
            answer = self._request("GET", path, deadline)
        except HTTPError as exc:
            raise StoreUnavailable(f"the store did not answer: {exc}") from exc
        if answer.status == 404:
            raise StoreMissing(f"{path} does not exist")
        if answer.status == 410:
            raise StoreCompacted("the store has dropped the revision; list again")
        if answer.status != 200:
            raise StoreUnavailable(f"the store answered {answer.status}")
        return _json(answer, StoreUnavailable), answer.era

    def _write(self, method, path, key, body, deadline):
        """Make one conditional write; return the new object, or None if deleted."""
        data = None if body is None else json.dumps(body).encode()
        try:
            answer = self._request(method, path, deadline, data)
        except NewConnectionError as exc:
            raise StoreUnavailable(f"no connection to the store: {exc}") from exc
        except HTTPError as exc:
            raise StoreOutcomeUnknown(f"the store's answer was lost: {exc}") from exc
        if answer.status in (404, 409):
            raise StoreConflict(f"{key} has a different version or does not exist")
        if answer.status in (429, 503):
            # With these statuses the store guarantees that it changed nothing.
            raise StoreUnavailable(f"the store answered {answer.status}")
        if not 200 <= answer.status < 300:
            raise StoreOutcomeUnknown(f"the store answered {answer.status}")
        if method == "DELETE":
            return None
        return _whole_object(
            key, _json(answer, StoreOutcomeUnknown), answer.era, StoreOutcomeUnknown
        )

    def _request(self, method, path, deadline, body=None):
        """Send one HTTP request that ends by `deadline`."""
        self.calls += 1
        left_s = max(MIN_TIMEOUT_S, deadline - self._clock.now())
        headers = {} if body is None else {"Content-Type": "application/json"}
        answer = self._http.request(
            method,
            self._base_url + path,
            body=body,
            headers=headers,
            timeout=urllib3.Timeout(total=left_s),
            preload_content=False,
        )
        status, data = answer.status, self._read_answer(answer)
        return _Answer(status, data, self._era_of(answer.headers))

    def _read_answer(self, answer) -> bytes:
        """Return the whole body of an answer; raise `HTTPError` if it is too long."""
        parts, size = [], 0
        while chunk := answer.read(READ_BYTES):
            if answer.status == 200:
                self.heard_at = self._clock.now()
            parts.append(chunk)
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                answer.close()
                raise HTTPError(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
            if len(chunk) == READ_BYTES:
                # Lets timers run while the store sends without a pause.
                eventlet.sleep(0)
        answer.release_conn()
        return b"".join(parts)

    def _era_of(self, headers) -> Era:
        """Return the era that an answer names, or the newest one if it names none."""
        text = headers.get(ERA)
        if text is None:
            return self.era
        if not _ERA_NUMBER.fullmatch(text):
            log.warning("store: era can't be read", extra={"value": text[:80]})
            return self.era
        era = Era(int(text))
        if era > self.era:
            log.warning(
                "store: new era, the store may be an older copy",
                extra={"era": era, "before": self.era},
            )
            self.era = era
        return era


@dataclass(frozen=True, slots=True)
class _Answer:
    """A whole answer of the store."""

    status: int
    data: bytes
    era: Era


def _object_kind(key):
    return key.partition("/")[0]


def _object_path(key):
    return "/objects/" + quote(key, safe="/")


def _json(answer, failure):
    """Return the answer's JSON object, or raise `failure`."""
    try:
        body = decode_page(answer.data)
    except (ValueError, RecursionError) as exc:
        raise failure("the store's answer is not JSON") from exc
    if not isinstance(body, dict):
        raise failure("the store's answer is not a JSON object")
    return body


def _whole_object(key, item, era, failure):
    """Return the object that an answer describes, or raise `failure`."""
    try:
        return _stored(_object_kind(key), item, era)
    except _ITEM_ERRORS as exc:
        raise failure(f"the store's answer for {key} is no object: {exc!r}") from exc


def _list_of(page, name):
    """Return a list of the page; a missing one is empty."""
    rows = page.get(name) or []
    if not isinstance(rows, list):
        raise StoreUnavailable(f"{name} of the store's answer is no list")
    return rows


def _revision(page):
    revision = page.get("current_rev")
    if not isinstance(revision, int):
        raise StoreUnavailable(f"the store's answer has the revision {revision!r}")
    return revision


def _last_name(rows):
    """Return the name after which the next page of a listing starts.

    It is that of the last item that has one.
    """
    for row in reversed(rows):
        try:
            return check_name(row["metadata"]["name"])
        except _ITEM_ERRORS:
            continue
    raise StoreUnavailable("no item of a page has a name, so the next can't be read")


def _stored(kind, item, era):
    """Return the object that an item of an answer describes.

    If its ``spec`` is not a JSON object or is empty, the value has the single key
    ``unreadable``.
    """
    meta = item["metadata"]
    name, revision = check_name(meta["name"]), meta["revision"]
    if type(revision) is not int or not 0 <= revision <= MAX_INT:
        raise TypeError("the revision is no number that a store counts to")
    spec = usable(item.get("spec"))
    if not isinstance(spec, dict) or not spec:
        spec = {"unreadable": f"it is no object but {type(spec).__name__}"}
    return StoredObject(f"{kind}/{name}", spec, Version(revision), era)


def _event(kind, event, era):
    """Return the object that a change describes; empty if it was deleted."""
    stored = _stored(kind, event["object"], era)
    return replace(stored, value={}) if event.get("deleted") else stored
