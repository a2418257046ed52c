"""A fake client of targets that plays answers scripted by the test."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet

from persimmonspoke.errors import AnswerLost, RouteLapsed


@dataclass
class FakeAnswer:
    """An answer; if `lost_after` is set, it ends early after that many chunks."""

    status: int = 200
    headers: tuple = (("Content-Type", "text/plain"),)
    body: tuple = (b"ok",)
    lost_after: int | None = None
    closed: bool = False

    def chunks(self):
        """Yield the body."""
        for number, chunk in enumerate(self.body):
            if number == self.lost_after:
                raise AnswerLost("the body ended early")
            yield chunk

    def close(self):
        """Record that the answer was closed."""
        self.closed = True


@dataclass
class Step:
    """The script of one attempt: pauses, and then an error or an answer.

    Without a pause before the write a connection is free, and no other task runs.
    """

    outcome: object = field(default_factory=FakeAnswer)
    before_write_s: float = 0.0
    after_write_s: float = 0.0


class FakeTargetRequests:
    """Plays `steps` in order, then a step of `default` for each further attempt.

    Attributes
    ----------
    attempts : list of (TargetId, TargetRequest)
        The arguments of every call of `send`.
    written : list of RequestId
        The requests that were written.
    interrupted : list of RequestId
        The requests whose task was interrupted after the write.
    ended : set of TargetId
        The targets whose processes have ended.
    """

    def __init__(self, *steps: Step, default: Callable[[], Step] = Step):
        self.steps = deque(steps)
        self.default = default
        self.attempts = []
        self.written = []
        self.interrupted = []
        self.ended = set()

    def has_ended(self, target):
        """Return whether the test has declared the target ended."""
        return target.target_id in self.ended

    def send(self, target, req):
        """Play the next step."""
        step = self.steps.popleft() if self.steps else self.default()
        self.attempts.append((target.target_id, req))
        if step.before_write_s:
            eventlet.sleep(step.before_write_s)
        if not req.may_send():
            raise RouteLapsed("the route's lease ended")
        self._write(req)
        try:
            eventlet.sleep(step.after_write_s)
        except BaseException:
            self.interrupted.append(req.request_id)
            raise
        if isinstance(step.outcome, Exception):
            raise step.outcome
        return step.outcome

    def _write(self, req):
        req.before_write()
        if not isinstance(req.body, bytes):
            b"".join(req.body.chunks)
        self.written.append(req.request_id)
