"""Client of the administration API."""

import json
from dataclasses import dataclass
from typing import Any, Protocol

import urllib3

from persimmonspoke.errors import AdminNotReached, AdminRefused, AdminUnreachable
from persimmonspoke.ids import Generation, Instant
from persimmonspoke.internal.clock import Clock

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 10.0
RETRY_PAUSE_S = 0.5
STORE_OUTCOME_UNKNOWN = "StoreOutcomeUnknown"
SERVER_FAILURE = 500


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status and body of one answer."""

    status: int
    data: bytes


class Transport(Protocol):
    """One HTTP exchange.

    Raises `AdminNotReached` if nothing was sent, and `AdminUnreachable` if there is
    no whole answer.
    """

    def send(
        self, method: str, path: str, headers: dict[str, str], body: str | None
    ) -> HttpAnswer:
        """Send one request and return its answer."""


class HttpTransport:
    """HTTP through urllib3, never repeated by itself."""

    def __init__(self, url: str, timeout_s: float):
        self._url = url.rstrip("/")
        limits = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s),
            read=min(READ_TIMEOUT_S, timeout_s),
        )
        self._pool = urllib3.PoolManager(retries=False, timeout=limits)

    def send(
        self, method: str, path: str, headers: dict[str, str], body: str | None
    ) -> HttpAnswer:
        """Send one request and return its answer."""
        data = None if body is None else body.encode()
        try:
            resp = self._pool.request(
                method, self._url + path, headers=headers, body=data
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationValueError,
        ) as exc:
            raise AdminNotReached(f"{self._url} can't be reached: {exc}") from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            raise AdminUnreachable(f"{self._url} gave no answer: {exc}") from exc
        return HttpAnswer(resp.status, resp.data)


@dataclass(frozen=True, slots=True)
class FailureBody:
    """The JSON body of a refusal.

    Attributes
    ----------
    details : dict
        Fields besides type and message, such as the changes of a conflict.
    """

    type: str
    message: str
    details: dict[str, Any]


class AdminClient:
    """The administration API of one entry host."""

    def __init__(self, transport: Transport, clock: Clock, token: str | None = None):
        self._transport = transport
        self._clock = clock
        self._token = token

    def get(self, path: str) -> dict[str, Any]:
        """Return the JSON body under `path`."""
        return self._json("GET", path)

    def post(self, path: str, body: str | None = None) -> dict[str, Any]:
        """Send `body` to `path` and return the JSON body of the answer."""
        return self._json("POST", path, body or "")

    def apply(
        self, team: str, text: str, expected: Generation, key: str, deadline: Instant
    ) -> dict[str, Any]:
        """Have the questionnaire `text` accepted and return the outcome.

        A lost answer is settled by repeating the request under the same `key`:
        the API then tells what became of the first one.

        Raises
        ------
        AdminUnreachable
            No answer by `deadline`; the outcome is unknown.
        AdminRefused
            The API answered that the questionnaire is not accepted.
        """
        headers = {"If-Match": str(expected), "Idempotency-Key": key}
        path = f"/v1/teams/{team}/questionnaire"
        lost = None
        while True:
            try:
                return self._json("PUT", path, text, headers)
            except AdminNotReached:
                if lost is None:
                    raise
            except AdminUnreachable as exc:
                lost = exc
            except AdminRefused as exc:
                # Once an answer was lost, a failure to serve the repeated request
                # says nothing about the first one.
                if not (_outcome_unknown(exc) or lost and exc.status >= SERVER_FAILURE):
                    raise
                lost = exc
            retry_at = Instant(self._clock.now() + RETRY_PAUSE_S)
            if retry_at >= deadline:
                break
            self._clock.sleep_until(retry_at)
        raise AdminUnreachable(
            f"the outcome is unknown ({lost}); to learn it, repeat the command "
            f"with --attempt {key}"
        ) from lost

    def _json(self, method, path, body=None, headers=None):
        """Return the JSON body of an answer, or raise `AdminRefused`."""
        answer = self._transport.send(method, path, self._headers(headers), body)
        try:
            value = json.loads(answer.data)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            raise AdminRefused(answer.status, _no_api(answer.status))
        if answer.status != 200:
            raise AdminRefused(answer.status, _failure(value, answer.status))
        return value

    def _headers(self, more):
        """Return the headers of a request."""
        headers = dict(more or {})
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        return headers


def _outcome_unknown(exc):
    """Return whether the API itself does not know what became of a change."""
    return exc.failure.type == STORE_OUTCOME_UNKNOWN


def _failure(value, status):
    """Return the typed failure in the body of an answer."""
    error = value.get("error")
    if not isinstance(error, dict):
        return _no_api(status)
    details = {k: v for k, v in error.items() if k not in ("type", "message")}
    return FailureBody(str(error.get("type")), str(error.get("message")), details)


def _no_api(status):
    """Return the failure that stands for an answer in another form."""
    message = f"status {status} without a typed body: no administration API"
    return FailureBody("MalformedAnswer", message, {})
