"""A target side whose answers a test writes down beforehand."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet

from persimmonspoke.errors import AnswerLost, RouteLapsed


@dataclass
class FakeAnswer:
    """An answer; `lost_after` chunks, if set, the rest is lost."""

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
        """Take note that the answer was let go."""
        self.closed = True


@dataclass
class Step:
    """What one attempt meets: a pause, then an error or an answer."""

    outcome: object = field(default_factory=FakeAnswer)
    before_write_s: float = 0.0
    after_write_s: float = 0.0


class FakeTargetRequests:
    """Plays `steps` one by one; with none left, every attempt is answered.

    Attributes
    ----------
    attempts : list of (TargetId, TargetRequest)
        Every call of `send`.
    written : list of RequestId
        The requests whose first byte went out.
    abandoned : list of RequestId
        The requests whose sender was interrupted after the write.
    """

    def __init__(self, *steps: Step, default: Callable[[], Step] = Step):
        self.steps = deque(steps)
        self.default = default
        self.attempts = []
        self.written = []
        self.abandoned = []

    def send(self, target, req):
        """Play the next step."""
        step = self.steps.popleft() if self.steps else self.default()
        self.attempts.append((target.target_id, req))
        eventlet.sleep(step.before_write_s)
        if not req.may_send():
            raise RouteLapsed("the route's lease ended")
        self._write(req)
        try:
            eventlet.sleep(step.after_write_s)
        except BaseException:
            self.abandoned.append(req.request_id)
            raise
        if isinstance(step.outcome, Exception):
            raise step.outcome
        return step.outcome

    def _write(self, req):
        if not isinstance(req.body, bytes):
            b"".join(req.body.chunks)
        self.written.append(req.request_id)
