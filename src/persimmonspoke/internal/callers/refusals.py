"""What a caller is told when no target answered its request."""

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
ROUTED_RETRY_S = 0.1  # about the length of one request at a target
REQUEST_ID = protocol.REQUEST_ID


class Run(Enum):
    """Whether the request ran at a target."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Status and type of a refusal.

    Attributes
    ----------
    retry_after_s : float or None
        How long the caller had better wait before it repeats the request.
    """

    status: HTTPStatus
    kind: str
    run: Run = Run.NOT_RUN
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
        return (*fields, ("Retry-After", f"{self.retry_after_s:.3g}"))

    def body(self, request_id: RequestId, message: str) -> bytes:
        """Return the JSON text of the answer."""
        error = {
            "type": self.kind,
            "message": message,
            "run": self.run.value,
            "request_id": request_id,
        }
        return json.dumps({"error": error}).encode() + b"\n"


@singledispatch
def refusal(exc: Exception) -> Refusal:
    """Return what the caller is told about `exc`."""
    return Refusal(HTTPStatus.INTERNAL_SERVER_ERROR, "internal", Run.UNKNOWN)


@refusal.register
def _(exc: errors.OutcomeUnknown) -> Refusal:
    return Refusal(HTTPStatus.BAD_GATEWAY, "outcome_unknown", Run.UNKNOWN)


@refusal.register
def _(exc: errors.NotRun) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "not_run")


@refusal.register
def _(exc: errors.NoOwnerYet) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "no_owner_yet")


@refusal.register
def _(exc: errors.HostClosed) -> Refusal:
    return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, "host_closed")


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
    """Return what the caller of a routed service is told about `exc`.

    Whatever has not run is told so by one status, with the time after which the
    caller had better come back.
    """
    told = refusal(exc)
    if isinstance(exc, errors.NotRun) and not isinstance(exc, errors.MalformedRequest):
        wait_s = ROUTED_RETRY_S if exc.retry_after_s is None else exc.retry_after_s
        return replace(
            told, status=HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=wait_s
        )
    return told


@dataclass(frozen=True, slots=True)
class AnswerStyle:
    """How callers are answered.

    Attributes
    ----------
    id_header : str
        Name of the header field with the request's id.
    marks_answers : bool
        Whether that field is added to targets' answers, which do not bear it.
    refusal : callable
        Returns what the caller is told about an exception.
    """

    id_header: str = REQUEST_ID
    marks_answers: bool = True
    refusal: Callable[[Exception], Refusal] = refusal
