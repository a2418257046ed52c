"""Header fields and paths of version 1 of the HTTP protocol with targets.

They are spelled out only here, so that another protocol can be supported by replacing
this module and the two clients.

A request carries `X-Request-Id`, `X-Attempt-Id`, `X-Deadline-Ms` (remaining time)
and, for a service divided by key, `X-Shard` and `X-Shard-Epoch`.  The answer repeats
`X-Request-Id`; an answer without it does not belong to the request.  `X-Outcome` on
an answer of status 409 or 503 means that the request did not run.
"""

from http import HTTPStatus

from urllib3.util import SKIP_HEADER

from persimmonspoke.errors import (
    AnswerLost,
    TargetDraining,
    TargetError,
    TargetFenced,
    TargetShed,
)
from persimmonspoke.ids import Instant, RequestId
from persimmonspoke.internal.targets.notices import Incarnation, TargetNotices
from persimmonspoke.internal.targets.rate_limits import UNLIMITED
from persimmonspoke.internal.targets.request_api import Headers, TargetRequest

REQUEST_ID = "X-Request-Id"
ATTEMPT_ID = "X-Attempt-Id"
DEADLINE_MS = "X-Deadline-Ms"
SHARD = "X-Shard"
SHARD_EPOCH = "X-Shard-Epoch"
OUTCOME = "X-Outcome"

GRANT_PATH = "/orders/grant"
RELEASE_PATH = "/orders/release"
CANCEL_PATH = "/cancel/"

CLOSE_DELIMITED_ANSWERS = False
"""Whether the end of the connection may mark the end of an answer (RFC 9112, 6.3)."""

PROTOCOL_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID, ATTEMPT_ID, DEADLINE_MS, SHARD, SHARD_EPOCH, OUTCOME)
)
"""Lower-case names of the protocol's fields.

They are removed from callers' requests and from the answers sent to callers.
"""

MS_PER_S = 1000

_NOT_RUN = {
    (HTTPStatus.CONFLICT, "not-owner"): TargetFenced,
    (HTTPStatus.SERVICE_UNAVAILABLE, "shed"): TargetShed,
    (HTTPStatus.SERVICE_UNAVAILABLE, "draining"): TargetDraining,
}
_NOT_RUN_STATUS = frozenset(status for status, _ in _NOT_RUN)


def request_headers(req: TargetRequest, attempt: str, now: Instant) -> dict[str, str]:
    """Return the header fields of one attempt."""
    # Without SKIP_HEADER the library would add fields that the caller did not send.
    fields = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
    for name, value in req.headers:
        name = name.title()
        known = fields.get(name)
        if known is None or known is SKIP_HEADER:
            fields[name] = value
        else:
            fields[name] = f"{known}{'; ' if name == 'Cookie' else ', '}{value}"
    fields[REQUEST_ID] = req.request_id
    fields[ATTEMPT_ID] = attempt
    fields[DEADLINE_MS] = str(max(0, int((req.deadline - now) * MS_PER_S)))
    if req.shard is not None:
        fields[SHARD] = str(req.shard.shard)
        fields[SHARD_EPOCH] = str(req.shard.epoch)
    return fields


def cancel_headers(attempt: str) -> dict[str, str]:
    """Return the header fields that identify the attempt to cancel."""
    return {ATTEMPT_ID: attempt}


def request_id_of(fields) -> RequestId | None:
    """Return the request id that an answer carries, if any."""
    return fields.get(REQUEST_ID)


def check_answer(request_id: RequestId, attempt: str, status: int, fields) -> None:
    """Raise `AnswerLost` unless this is the final answer to this attempt.

    Parameters
    ----------
    fields : mapping of str to str
        Header fields; names are case-insensitive.
    """
    if fields.get(REQUEST_ID) != request_id:
        raise AnswerLost("the answer names another request")
    if fields.get(ATTEMPT_ID, attempt) != attempt:
        raise AnswerLost("the answer names another attempt")
    if status < HTTPStatus.OK:
        raise AnswerLost("the answer is no final one")


def refusal(status: int, fields) -> TargetError | None:
    """Return the error if the target reports that the request did not run."""
    if status not in _NOT_RUN_STATUS:
        return None
    kind = _NOT_RUN.get((status, fields.get(OUTCOME)))
    return None if kind is None else kind(f"the target answered {status}")


def rate_limit(fields) -> float | None:
    """Return `UNLIMITED`; targets of this protocol name no rate limits."""
    return UNLIMITED


def read_notices(
    status: int, fields, incarnation: Incarnation, notices: TargetNotices
) -> None:
    """Ignore notices: a leaving target refuses requests in this protocol."""


def answer_headers(items) -> Headers:
    """Return the header fields of an answer, except those of this protocol."""
    return tuple(pair for pair in items if pair[0].lower() not in PROTOCOL_HEADERS)
