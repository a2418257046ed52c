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
class Refusal:
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
def refusal(exc: Exception) -> Refusal:
    """Return the response to `exc`."""
    return Refusal("500 Internal Server Error", {})


@refusal.register
def _(exc: PersimmonspokeError):
    return Refusal("500 Internal Server Error", {})


@refusal.register
def _(exc: InvalidSettings):
    faults = [asdict(fault) for fault in exc.faults]
    return Refusal("422 Unprocessable Content", {"faults": faults})


@refusal.register
def _(exc: ApplyConflict):
    changes = [asdict(change) for change in exc.changes]
    details = {"generation": exc.generation, "changes": changes}
    return Refusal("412 Precondition Failed", details)


@refusal.register
def _(exc: ConfigurationEdited):
    return Refusal("409 Conflict", {})


@refusal.register(UnknownName)
@refusal.register(UnknownAdminPath)
def _(exc):
    return Refusal("404 Not Found", {})


@refusal.register
def _(exc: AdminFailure):
    return Refusal("400 Bad Request", {})


@refusal.register
def _(exc: MethodNotAllowed):
    return Refusal("405 Method Not Allowed", {})


@refusal.register
def _(exc: GenerationRequired):
    return Refusal("428 Precondition Required", {})


@refusal.register
def _(exc: AdminBodyTooLarge):
    return Refusal("413 Content Too Large", {})


@refusal.register
def _(exc: Unauthenticated):
    return Refusal("401 Unauthorized", {})


@refusal.register
def _(exc: Forbidden):
    return Refusal("403 Forbidden", {})


@refusal.register
def _(exc: StoreError):
    return Refusal("503 Service Unavailable", {})


@refusal.register
def _(exc: StoreOutcomeUnknown):
    return Refusal("504 Gateway Timeout", {"advice": OUTCOME_UNKNOWN_ADVICE})


@refusal.register
def _(exc: PeerError):
    return Refusal("502 Bad Gateway", {})
