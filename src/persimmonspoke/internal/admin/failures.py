"""Statuses and JSON bodies with which the administration API reports failures."""

from dataclasses import asdict, dataclass
from functools import singledispatch
from typing import Any

from persimmonspoke.errors import (
    AdminBodyTooLarge,
    AdminFailure,
    ApplyConflict,
    ConfigurationEdited,
    Forbidden,
    GenerationRequired,
    InvalidSettings,
    MethodNotAllowed,
    PeerError,
    PersimmonspokeError,
    StoreError,
    StoreOutcomeUnknown,
    Unauthenticated,
    UnknownAdminPath,
    UnknownName,
)

OUTCOME_UNKNOWN_ADVICE = (
    "the change was sent to the store and may take effect; repeat the request with "
    "the same Idempotency-Key to learn the outcome"
)


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to one failure.

    Attributes
    ----------
    status : str
        HTTP status code and reason phrase.
    details : dict
        Fields of the JSON body besides type and message.
    """

    status: str
    details: dict[str, Any]

    def body(self, exc: Exception, message: str) -> dict[str, Any]:
        """Return the JSON body that reports `exc`."""
        fields = {"type": type(exc).__name__, "message": message, **self.details}
        return {"error": fields}


@singledispatch
def error_response(exc: Exception) -> ErrorResponse:
    """Return the response to `exc`."""
    return ErrorResponse("500 Internal Server Error", {})


@error_response.register
def _(exc: PersimmonspokeError):
    return ErrorResponse("500 Internal Server Error", {})


@error_response.register
def _(exc: InvalidSettings):
    faults = [asdict(fault) for fault in exc.faults]
    return ErrorResponse("422 Unprocessable Content", {"faults": faults})


@error_response.register
def _(exc: ApplyConflict):
    changes = [asdict(change) for change in exc.changes]
    details = {"generation": exc.generation, "changes": changes}
    return ErrorResponse("412 Precondition Failed", details)


@error_response.register
def _(exc: ConfigurationEdited):
    return ErrorResponse("409 Conflict", {})


@error_response.register(UnknownName)
@error_response.register(UnknownAdminPath)
def _(exc):
    return ErrorResponse("404 Not Found", {})


@error_response.register
def _(exc: AdminFailure):
    return ErrorResponse("400 Bad Request", {})


@error_response.register
def _(exc: MethodNotAllowed):
    return ErrorResponse("405 Method Not Allowed", {})


@error_response.register
def _(exc: GenerationRequired):
    return ErrorResponse("428 Precondition Required", {})


@error_response.register
def _(exc: AdminBodyTooLarge):
    return ErrorResponse("413 Content Too Large", {})


@error_response.register
def _(exc: Unauthenticated):
    return ErrorResponse("401 Unauthorized", {})


@error_response.register
def _(exc: Forbidden):
    return ErrorResponse("403 Forbidden", {})


@error_response.register
def _(exc: StoreError):
    return ErrorResponse("503 Service Unavailable", {})


@error_response.register
def _(exc: StoreOutcomeUnknown):
    return ErrorResponse("504 Gateway Timeout", {"advice": OUTCOME_UNKNOWN_ADVICE})


@error_response.register
def _(exc: PeerError):
    return ErrorResponse("502 Bad Gateway", {})
