"""Header fields of requests that hosts forward to each other.

The module has the same functions as `platform.headers`, so that the client of the
targets can send a request to another host instead of a target.
"""

import re
from dataclasses import replace

from persimmonspoke.errors import TargetError, TargetFenced
from persimmonspoke.ids import HostId, Instant
from persimmonspoke.internal.targets.notices import Incarnation, TargetNotices
from persimmonspoke.internal.targets.rate_limits import UNLIMITED
from persimmonspoke.internal.targets.request_api import (
    ForwardedFields,
    Headers,
    TargetRequest,
)
from persimmonspoke.platform import headers
from persimmonspoke.platform.headers import (  # noqa: F401 - part of the interface.
    CANCEL_PATH,
    CLOSE_DELIMITED_ANSWERS,
    answer_headers,
    check_answer,
    request_id_of,
)

NOT_TAKEN = "Persimmonspoke-Not-Taken"
"""On the answer of a host that did not begin to work on a forwarded request."""

# Time by which the other host's wait ends before this one's.  With the same deadline,
# its refusal came too late, and a request that had reached no target got 502.
ANSWER_MARGIN_S = 0.05
MAX_MARGIN_SHARE = 0.25

_COUNT = re.compile(r"[0-9]{1,4}", re.ASCII)
_FORWARDED_KEY = "HTTP_" + headers.FORWARDED.upper().replace("-", "_")


def request_headers(req: TargetRequest, attempt: str, now: Instant) -> dict[str, str]:
    """Return the header fields of one attempt."""
    margin_s = min(ANSWER_MARGIN_S, MAX_MARGIN_SHARE * max(0.0, req.deadline - now))
    ends_before = replace(req, deadline=Instant(req.deadline - margin_s))
    fields = headers.request_headers(ends_before, attempt, now)
    del fields[headers.EXPECTED_TARGET]
    sent = req.forwarded
    fields[headers.FORWARDED] = f"{sent.host} {sent.attempts} {int(sent.may_have_run)}"
    return fields


def forwarded_fields(environ: dict) -> ForwardedFields:
    """Return what the host that forwards a request says in a WSGI environment.

    A later build may say more behind it, which is ignored.
    """
    texts = environ.get(_FORWARDED_KEY, "").split(" ")
    host, attempts, may_have_run = (*texts, "", "")[:3]
    count = int(attempts) if _COUNT.fullmatch(attempts) else 0
    return ForwardedFields(HostId(host), count, may_have_run == "1")


def refusal(status: int, fields) -> TargetError | None:
    """Return the error if the other host did not take the request."""
    if NOT_TAKEN in fields:
        return TargetFenced(f"the host did not take it: {fields[NOT_TAKEN]}")
    return None


def rate_limit(fields) -> float | None:
    """Return that the answer names no rate limit of a target for this host to keep."""
    return UNLIMITED


def read_notices(
    status: int, fields, incarnation: Incarnation, notices: TargetNotices
) -> None:
    """Ignore what the answer says of a target: the other host has read it."""


def not_taken_headers(kind: str) -> Headers:
    """Return the fields that say that this host did not take a request, and why."""
    return ((NOT_TAKEN, kind),)
