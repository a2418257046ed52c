"""A second exchange of a request whose first one is still listened to."""

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum, auto

import eventlet
from eventlet import hubs
from eventlet.event import Event
from greenlet import getcurrent

from persimmonspoke.errors import (
    AnswerLost,
    NotRun,
    PathsCut,
    RequestFailure,
    RouteLapsed,
    TargetError,
    TargetRefusedConnection,
    TargetUnreachable,
)
from persimmonspoke.internal.targets.request_api import NOT_RUN_ERRORS, TargetAnswer

log = logging.getLogger(__name__)

_UNSENT_ERRORS = (
    PathsCut,
    RouteLapsed,
    TargetRefusedConnection,
    TargetUnreachable,
)
"""Errors after which the request may still be sent a second time."""


class SecondAnswered(Exception):
    """Raised in the first exchange's task: the second one has an answer."""


class NotNeeded(Exception):
    """Raised in the second exchange's task: the first one has ended."""


class _State(Enum):
    IDLE = auto()
    RUNNING = auto()
    ANSWERED = auto()
    FAILED = auto()
    ENDED = auto()


class SecondSend:
    """The second exchange of one request; created in the task of the first.

    Attributes
    ----------
    error : Exception or None
        How the second exchange failed, if it may have run.
    """

    __slots__ = (
        "_answer",
        "_done",
        "_first_task",
        "_is_listening",
        "_second_task",
        "_state",
        "_timer",
        "error",
    )

    def __init__(self):
        self._is_listening = False
        self.error = None
        self._first_task = getcurrent()
        self._second_task = None
        self._timer = None
        self._done = None
        self._answer = None
        self._state = _State.IDLE

    @property
    def may_have_run(self) -> bool:
        """Return whether the second exchange may have run, or may run yet."""
        return self.error is not None or self._state is _State.RUNNING

    @property
    def has_begun(self) -> bool:
        """Return whether a second exchange may have been sent."""
        return self._state is not _State.IDLE

    def start_after(self, delay_s: float, send: Callable[[], TargetAnswer]) -> None:
        """Call `start` after `delay_s` seconds, unless the request ends before."""
        hub = hubs.get_hub()
        self._timer = hub.schedule_call_global(max(0.0, delay_s), self.start, send)

    def start(self, send: Callable[[], TargetAnswer]) -> None:
        """Call `send` in a task of its own, unless a second exchange was begun."""
        if self._state is _State.IDLE:
            self._state = _State.RUNNING
            self._done = Event()
            self._second_task = eventlet.spawn_n(self._run, send)

    @contextmanager
    def listening(self) -> Iterator[None]:
        """Let an answer of the second exchange interrupt the code in the context."""
        self._is_listening = True
        try:
            yield
        finally:
            self._is_listening = False

    def wait(self, timeout_s: float) -> TargetAnswer | None:
        """Return the second exchange's answer; None if it has or gets none in time."""
        if self._state is _State.RUNNING and timeout_s > 0:
            with eventlet.Timeout(timeout_s, False):
                self._done.wait()
        if self._state is not _State.ANSWERED:
            return None
        self._state = _State.ENDED
        return self._answer

    def end(self) -> None:
        """End the second exchange if it runs, and close an answer that nobody took."""
        if self._timer is not None:
            self._timer.cancel()
        state, self._state = self._state, _State.ENDED
        if state is _State.RUNNING:
            hubs.get_hub().schedule_call_global(0, self._interrupt_second)
        elif state is _State.ANSWERED:
            self._answer.close()

    def _run(self, send):
        if self._state is _State.ENDED:
            return
        state = _State.FAILED
        try:
            self._answer = send()
            state = _State.ANSWERED
        except NotNeeded:
            return
        except _UNSENT_ERRORS as exc:
            log.debug("targets: second send failed", extra={"reason": str(exc)})
            state = _State.IDLE
        except (TargetError, RequestFailure) as exc:
            if not isinstance(exc, (NotRun, *NOT_RUN_ERRORS)):
                self.error = exc
        except Exception as exc:
            log.exception("targets: second send failed by a fault of this host")
            self.error = AnswerLost(f"the second exchange failed: {exc!r}")
        if self._state is _State.ENDED:
            if state is _State.ANSWERED:
                self._answer.close()
            return
        self._state = state
        self._done.send(None)
        if state is _State.ANSWERED and self._is_listening:
            hubs.get_hub().schedule_call_global(0, self._interrupt_first)

    def _interrupt_first(self):
        if self._is_listening and self._state is _State.ANSWERED:
            self._first_task.throw(SecondAnswered())

    def _interrupt_second(self):
        # A task that has not begun sees the state by itself.
        if self._second_task:
            self._second_task.throw(NotNeeded())
