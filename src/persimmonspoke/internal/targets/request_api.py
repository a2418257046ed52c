"""What the project needs of a target that is sent a caller's request.

One call of `TargetRequests.send` is one attempt: the request is written once at
most, and every way that the attempt can end has its own type.
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
from persimmonspoke.ids import Instant, RequestId, TargetId
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
"""The errors of an attempt that did not run and never will."""


@dataclass(frozen=True, slots=True)
class StreamedBody:
    """A body that can be read once only.

    Attributes
    ----------
    chunks : iterator of bytes
        May raise `RequestFailure`; it then passes through `TargetRequests.send`.
    length : int or None
        Number of bytes that follow, or None if the caller did not say.
    """

    chunks: Iterator[bytes]
    length: int | None


Body = bytes | StreamedBody


def always_allowed() -> bool:
    """Return True: the request needs no route."""
    return True


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """One attempt to have a target answer a caller's request.

    Attributes
    ----------
    path : str
        Path and query, still percent-encoded.
    headers : Headers
        The caller's, without those that concern one connection only.
    body : Body
        ``b""`` for none; a `StreamedBody` makes the attempt the last one.
    deadline : Instant
        When the caller stops waiting.
    protected : bool
        Whether the request may run at most once.
    shard : GrantedShard or None
        Shard and epoch of the route; None for a service not divided by key.
    target_id : TargetId or None
        The target that alone may run the request, where the protocol can say so.
    may_send : callable
        Asked after the connection is made and just before the first byte; a False
        ends the attempt with `RouteLapsed`.
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
    may_send: Callable[[], bool] = always_allowed

    @property
    def repeatable(self) -> bool:
        """Return whether the request may be written more than once."""
        return not self.protected and isinstance(self.body, bytes)


class TargetAnswer(Protocol):
    """The answer of a target to the very request that was sent."""

    status: int
    headers: Headers

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise `AnswerLost` if it ends early."""

    def close(self) -> None:
        """Let go of the answer; one not read to its end is cancelled."""


class TargetRequests(Protocol):
    """Requests to targets."""

    def send(self, target: TargetConfig, req: TargetRequest) -> TargetAnswer:
        """Write the request to `target` and return once its answer has begun.

        Raises
        ------
        TargetRefusedConnection, TargetUnreachable, RouteLapsed
            Nothing was written.
        TargetFenced, TargetShed, TargetDraining
            The target's own word that the request did not run.
        AnswerLost
            The request was written, and no whole answer to it came.
        """
