"""The interface for sending callers' requests to targets.

One call of `TargetRequests.send` is one attempt.  A request that is not repeatable
is written at most once, and each way in which an attempt can fail has its own
exception type.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from persimmonspoke.errors import (
    RouteLapsed,
    TargetDraining,
    TargetFenced,
    TargetRefusedConnection,
    TargetShed,
    TargetUnreachable,
)
from persimmonspoke.ids import HostId, Instant, RequestId, TargetId
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.targets.api import GrantedShard

Headers = tuple[tuple[str, str], ...]

NOT_RUN_ERRORS = (
    RouteLapsed,
    TargetDraining,
    TargetFenced,
    TargetRefusedConnection,
    TargetShed,
    TargetUnreachable,
)
"""Errors of an attempt that certainly did not run and never will."""


@dataclass(frozen=True, slots=True)
class StreamedBody:
    """A request body that can be read only once.

    Attributes
    ----------
    chunks : iterator of bytes
        May raise `RequestFailure`, which `TargetRequests.send` passes on.
    length : int or None
        Length of the body in bytes; None if the caller did not give it.
    buffered : bytes
        The part of the body that had been read before the request was sent.
    """

    chunks: Iterator[bytes]
    length: int | None
    buffered: bytes = b""


Body = bytes | StreamedBody


def always_allowed() -> bool:
    """Return True; for requests that need no route."""
    return True


def ignore_write() -> None:
    """Do nothing; for senders that do not need to know of the first byte."""


@dataclass(frozen=True, slots=True)
class ForwardedFields:
    """What the host that forwards a request to another one says about it.

    Attributes
    ----------
    host : HostId
        The host that took the request from its caller.
    attempts : int
        Attempts there that count against the route's limit.
    may_have_run : bool
        Whether one of them may have run at a target.
    """

    host: HostId
    attempts: int = 0
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A caller's request in the form in which it is sent to a target.

    Attributes
    ----------
    path : str
        Path and query, still percent-encoded.
    headers : Headers
        The caller's header fields without those that apply to a single connection.
    body : Body
        ``b""`` if there is none.  No attempt can follow one that has started to read
        a `StreamedBody`.
    deadline : Instant
        When the caller stops waiting.
    protected : bool
        Whether the request must run at most once.
    shard : GrantedShard or None
        Shard and epoch of the route; None for a service not divided by key.
    target_id : TargetId or None
        The only target that may run the request, for protocols that can express it.
    repeated : bool
        Whether this host has sent the request to the same target before.
    forwarded : ForwardedFields or None
        Set if the request is sent to another host instead of a target.
    may_send : callable
        Called once the connection is open, just before the first byte is written;
        if it returns False, the attempt fails with `RouteLapsed`.
    before_write : callable
        Called just before the first byte of each exchange is written.
    may_repeat : callable
        Called before a repeatable request is sent a second time while its first
        exchange goes on; takes the second send from the retry budget.
    elsewhere : callable or None
        Lets another host send a repeatable request, within the retry budget, while its
        first exchange goes on; raises `PathsCut` if none takes it.
    """

    method: str
    path: str
    headers: Headers
    body: Body
    deadline: Instant
    request_id: RequestId
    protected: bool
    shard: GrantedShard | None = None
    target_id: TargetId | None = None
    repeated: bool = False
    forwarded: ForwardedFields | None = None
    may_send: Callable[[], bool] = always_allowed
    before_write: Callable[[], None] = ignore_write
    may_repeat: Callable[[], bool] = always_allowed
    elsewhere: "Callable[[], TargetAnswer] | None" = None

    @property
    def repeatable(self) -> bool:
        """Return whether the request may be written more than once."""
        return not self.protected and isinstance(self.body, bytes)


class TargetAnswer(Protocol):
    """A target's answer, verified to belong to the request that was sent."""

    status: int
    headers: Headers

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise `AnswerLost` if it ends early."""

    def close(self) -> None:
        """Release the answer; cancel the request if it was not read to its end."""


class TargetRequests(Protocol):
    """Sends requests to targets."""

    def send(self, target: TargetConfig, req: TargetRequest) -> TargetAnswer:
        """Send the request to `target` and return once its answer starts.

        Raises
        ------
        TargetRefusedConnection, TargetUnreachable, RouteLapsed
            Nothing was written.
        TargetFenced, TargetShed, TargetDraining
            The target answered that the request did not run.
        AnswerLost
            The request was written, and no complete answer arrived.
        """

    def has_ended(self, target: TargetConfig) -> bool:
        """Return whether `target` refuses connections, so that its process has ended.

        It is False if that can't be found out quickly.
        """
