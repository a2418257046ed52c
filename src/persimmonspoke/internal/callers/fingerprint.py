"""Fingerprints, by which the repetitions of one request are recognized.

A caller that sends a request again sends it with another request id and mostly to
another host, so neither tells that it is the same request.
"""

import xxhash

from persimmonspoke.ids import Fingerprint
from persimmonspoke.internal.callers.request import CallerRequest
from persimmonspoke.internal.targets.request_api import Body

PER_MESSAGE_FIELDS = frozenset(
    (
        "b3",
        "baggage",
        "date",
        "forwarded",
        "traceparent",
        "tracestate",
        "via",
        "x-b3-parentspanid",
        "x-b3-sampled",
        "x-b3-spanid",
        "x-b3-traceid",
        "x-correlation-id",
        "x-forwarded-for",
        "x-real-ip",
        "x-request-id",
    )
)
"""Lower-case names of common fields that differ between repetitions of a request."""


def fingerprint_of(
    req: CallerRequest, body: Body, attempt_fields: frozenset[str]
) -> Fingerprint:
    """Return the hash of what the repetitions of a request have in common.

    That is the team, method, path, query, header fields and body, but not the service,
    which may be another one at each repetition.  Of a body that is streamed, only the
    part that is buffered before the request is sent counts.

    Parameters
    ----------
    attempt_fields : frozenset of str
        Lower-case names of the protocol's fields that belong to a single attempt.
    """
    digest = xxhash.xxh3_128()
    parts = [req.entry.team, req.method, req.path]
    for name, value in sorted(
        (name.lower(), value)
        for name, value in req.headers
        if name.lower() not in attempt_fields
    ):
        if name not in PER_MESSAGE_FIELDS:
            parts += (name, value)
    # Lengths keep apart what would be equal once joined.
    for part in parts:
        data = part.encode("latin-1", "replace")
        digest.update(b"%d:%s" % (len(data), data))
    digest.update(body if isinstance(body, bytes) else body.buffered)
    return Fingerprint(digest.hexdigest())
