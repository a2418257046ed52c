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
MIN_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and body of one HTTP response."""

    status: int
    data: bytes


class Transport(Protocol):
    """One HTTP exchange.

    Raises `AdminNotReached` if nothing was sent, and `AdminUnreachable` if no complete
    response arrived.
    """

    def send(
        self, method: str, path: str, headers: dict[str, str], body: str | None
    ) -> HttpResponse:
        """Send one request and return the response."""


class HttpTransport:
    """Transport over urllib3, without automatic retries."""

    def __init__(self, url: str, timeout_s: float):
        self._url = url.rstrip("/")
        timeouts = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s),
            read=min(READ_TIMEOUT_S, timeout_s),
        )
        self._pool = urllib3.PoolManager(retries=False, timeout=timeouts)

    def send(
        self, method: str, path: str, headers: dict[str, str], body: str | None
    ) -> HttpResponse:
        """Send one request and return the response."""
        data = None if body is None else body.encode()
        try:
            http_response = self._pool.request(
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
        return HttpResponse(http_response.status, http_response.data)


@dataclass(frozen=True, slots=True)
class FailureBody:
    """The JSON body of an error response.

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
        """Send `body` to `path` and return the JSON body of the response."""
        return self._json("POST", path, body or "")

    def apply(
        self, team: str, text: str, expected: Generation, key: str, deadline: Instant
    ) -> dict[str, Any]:
        """Have the questionnaire `text` accepted and return the outcome.

        If the response is lost, the request is repeated with the same `key`, to which
        the API responds with the outcome of the first one.

        Raises
        ------
        AdminUnreachable
            No response arrived before `deadline`; the outcome is unknown.
        AdminRefused
            The API responded that the questionnaire is not accepted.
        """
        headers = {"If-Match": str(expected), "Idempotency-Key": key}
        path = f"/v1/teams/{team}/questionnaire"
        last_failure = None
        while True:
            try:
                return self._json("PUT", path, text, headers)
            except AdminNotReached:
                if last_failure is None:
                    raise
            except AdminUnreachable as exc:
                last_failure = exc
            except AdminRefused as exc:
                # After a lost response, a server error in the repeated request does
                # not tell whether the first request took effect.
                if not (
                    _outcome_unknown(exc)
                    or last_failure
                    and exc.status >= MIN_SERVER_ERROR
                ):
                    raise
                last_failure = exc
            retry_at = Instant(self._clock.now() + RETRY_PAUSE_S)
            if retry_at >= deadline:
                break
            self._clock.sleep_until(retry_at)
        raise AdminUnreachable(
            f"the outcome is unknown ({last_failure}); to learn it, repeat the command "
            f"with --attempt {key}"
        ) from last_failure

    def _json(self, method, path, body=None, headers=None):
        """Return the JSON body of a response, or raise `AdminRefused`."""
        response = self._transport.send(method, path, self._headers(headers), body)
        try:
            value = json.loads(response.data)
        except ValueError:
            value = None
        if not isinstance(value, dict):
            raise AdminRefused(response.status, _malformed_response(response.status))
        if response.status != 200:
            raise AdminRefused(response.status, _failure_body(value, response.status))
        return value

    def _headers(self, extra_headers):
        """Return the header fields of a request, with the token if there is one."""
        headers = dict(extra_headers or {})
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        return headers


def _outcome_unknown(exc):
    """Return whether the API itself does not know the outcome of a change."""
    return exc.failure.type == STORE_OUTCOME_UNKNOWN


def _failure_body(value, status):
    """Return the error in the body of a response."""
    error = value.get("error")
    if not isinstance(error, dict):
        return _malformed_response(status)
    details = {k: v for k, v in error.items() if k not in ("type", "message")}
    return FailureBody(str(error.get("type")), str(error.get("message")), details)


def _malformed_response(status):
    """Return the error that stands for a response in an unknown format."""
    message = f"status {status} without a typed body: no administration API"
    return FailureBody("MalformedAnswer", message, {})
