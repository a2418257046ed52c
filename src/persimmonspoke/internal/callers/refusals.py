"""The HTTP answers that callers get when no target answered their request."""

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from functools import singledispatch
from http import HTTPStatus

from persimmonspoke import errors
from persimmonspoke.ids import RequestId
from persimmonspoke.internal.targets import protocol
from persimmonspoke.internal.targets.request_api import Headers

RETRY_AFTER_S = 1
ROUTED_RETRY_AFTER_S = 0.1  # about the duration of one request at a target
REQUEST_ID = protocol.REQUEST_ID


class RunStatus(Enum):
    """Whether the request ran at a target, as reported to the caller."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Refusal:
    """An HTTP answer that reports a failure to the caller.

    Attributes
    ----------
    kind : str
        Type of the failure, as in the JSON body.
    retry_after_s : float or None
        Value of ``Retry-After``: how long the caller should wait before a retry.
    """

    status: HTTPStatus
    kind: str
    run: RunStatus = RunStatus.NOT_RUN
    retry_after_s: float | None = None

    def headers(
        self, request_id: RequestId, length: int, id_header: str = REQUEST_ID
    ) -> Headers:
        """Return the header fields of the answer."""
        fields = (
            ("Content-Type", "application/json"),
            ("Content-Length", str(length)),
            (id_header, request_id),
        )
        if self.retry_after_s is None:
            return fields
        # No exponent, which the format has for large numbers.
        wait_s = f"{self.retry_after_s:.3f}".rstrip("0").rstrip(".")
        return (*fields, ("Retry-After", wait_s))

    def body(self, request_id: RequestId, message: str) -> bytes:
        """Return the JSON body of the answer."""
        error = {
            "type": self.kind,
            "message": message,
            "run": self.run.value,
            "request_id": request_id,
        }
        return json.dumps({"error": error}).encode() + b"\n"


@singledispatch
def refusal(exc: Exception) -> Refusal:
    """Return the answer that reports `exc` to the caller."""
    return Refusal(HTTPStatus.INTERNAL_SERVER_ERROR, "internal", RunStatus.UNKNOWN)


@refusal.register
def _(exc: errors.OutcomeUnknown) -> Refusal:
    return Refusal(HTTPStatus.BAD_GATEWAY, "outcome_unknown", RunStatus.UNKNOWN)


@refusal.register
def _(exc: errors.NotRun) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "not_run")


@refusal.register
def _(exc: errors.NoOwnerYet) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "no_owner_yet")


@refusal.register
def _(exc: errors.Quarantined) -> Refusal:
    status = HTTPStatus.SERVICE_UNAVAILABLE
    return Refusal(status, "quarantined", retry_after_s=exc.retry_after_s)


@refusal.register
def _(exc: errors.HostClosed) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "host_closed")


@refusal.register
def _(exc: errors.PathsCut) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "paths_cut")


@refusal.register
def _(exc: errors.RouteUnconfirmed) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "route_unconfirmed")


@refusal.register
def _(exc: errors.RouteUnreadable) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "route_unreadable")


@refusal.register
def _(exc: errors.Overloaded) -> Refusal:
    status = HTTPStatus.SERVICE_UNAVAILABLE
    return Refusal(status, "overloaded", retry_after_s=RETRY_AFTER_S)


@refusal.register
def _(exc: errors.DeadlinePassed) -> Refusal:
    return Refusal(HTTPStatus.GATEWAY_TIMEOUT, "deadline_passed")


@refusal.register
def _(exc: errors.MalformedRequest) -> Refusal:
    return Refusal(HTTPStatus.BAD_REQUEST, "malformed_request")


@refusal.register
def _(exc: errors.UnknownPath) -> Refusal:
    return Refusal(HTTPStatus.NOT_FOUND, "unknown_path")


@refusal.register
def _(exc: errors.BodyTooLarge) -> Refusal:
    return Refusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large")


@refusal.register
def _(exc: errors.BodyTooSlow) -> Refusal:
    return Refusal(HTTPStatus.REQUEST_TIMEOUT, "body_too_slow")


@refusal.register
def _(exc: errors.LengthRequired) -> Refusal:
    return Refusal(HTTPStatus.LENGTH_REQUIRED, "length_required")


@refusal.register
def _(exc: errors.HeadTooLarge) -> Refusal:
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    return Refusal(status, "head_too_large")


@refusal.register
def _(exc: errors.LineTooLong) -> Refusal:
    return Refusal(HTTPStatus.REQUEST_URI_TOO_LONG, "line_too_long")


def routed_refusal(exc: Exception) -> Refusal:
    """Return the answer that reports `exc` to the caller of a routed service.

    All failures of requests that did not run, except malformed ones, get status 503
    and a ``Retry-After``.
    """
    specific = refusal(exc)
    if isinstance(exc, errors.NotRun) and not isinstance(exc, errors.MalformedRequest):
        wait_s = (
            ROUTED_RETRY_AFTER_S if exc.retry_after_s is None else exc.retry_after_s
        )
        return replace(
            specific, status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=wait_s
        )
    return specific


@dataclass(frozen=True, slots=True)
class AnswerStyle:
    """The form in which callers are answered.

    Attributes
    ----------
    id_header : str
        Name of the header field that carries the request id.
    adds_id_header : bool
        Whether that field is added to the answers of targets.  True if the protocol
        with the targets removes it from their answers.
    refusal : callable
        Returns the `Refusal` that reports an exception to the caller.
    extra_headers : callable
        Returns further header fields of the answer that reports an exception.
    """

    id_header: str = REQUEST_ID
    adds_id_header: bool = True
    refusal: Callable[[Exception], Refusal] = refusal
    extra_headers: Callable[[Exception], Headers] = lambda exc: ()
