"""What a caller is told when no target answered its request."""

import json
from dataclasses import dataclass
from enum import Enum
from functools import singledispatch
from http import HTTPStatus

from persimmonspoke import errors
from persimmonspoke.ids import RequestId
from persimmonspoke.internal.targets.request_api import Headers

RETRY_AFTER_S = 1


class Run(Enum):
    """Whether the request ran at a target."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Status and type of a refusal.

    Attributes
    ----------
    retry_after_s : int or None
        How long the caller had better wait before it repeats the request.
    """

    status: HTTPStatus
    kind: str
    run: Run = Run.NOT_RUN
    retry_after_s: int | None = None

    def headers(self, request_id: RequestId, length: int) -> Headers:
        """Return the header fields of the answer."""
        fields = (
            ("Content-Type", "application/json"),
            ("Content-Length", str(length)),
            ("X-Request-Id", request_id),
        )
        if self.retry_after_s is None:
            return fields
        return (*fields, ("Retry-After", str(self.retry_after_s)))

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
