"""The speeds of targets, learned from answer times by kind of request.

A desk gives each request a slot of its target, so an answer time contains hardly any
waiting time.  It depends on the kind of the request, on the target's speed, and on
momentary disturbances of the target's machine.
"""

import math
from collections.abc import Iterable

from persimmonspoke.ids import ServiceId, TargetId

INITIAL_SERVICE_S = 0.1  # before the first answer; only ratios between targets matter
SMOOTHING = 0.05  # weight of one answer in a target's speed
KIND_SMOOTHING = 0.002  # weight of one answer in the usual time of its kind
CLIPPED_FROM = 6  # answers from which an unusual one counts only in part
# A machine that is slowed three times for 0.4 s changes the logarithm by 1.1.
MAX_DEVIATION = 0.35
PRIOR_ANSWERS = 1.0  # answers at the mean speed that each target is assumed to have had
UNKNOWN_SERVICE = ServiceId("")
UNKNOWN_KIND = ""


class TargetSpeeds:
    """The speed of each target relative to the others that serve the same kinds.

    The speed is the usual time of a kind of request over the time that the target
    takes, so a target that gets more of the long requests is not taken for slow.
    """

    def __init__(self):
        self._services: dict[ServiceId, _ServiceSpeeds] = {}
        self._service_of: dict[TargetId, ServiceId] = {}

    def add(
        self,
        work: Iterable[tuple[TargetId, int, float, float]],
        by_kind: Iterable[tuple[ServiceId, str, TargetId, int, float]] = (),
    ) -> None:
        """Add what one host measured since its last report.

        Parameters
        ----------
        work : iterable of (target, requests answered, seconds that they took, limit)
            Used only if `by_kind` is empty, as in reports of earlier builds.
        by_kind : iterable of (service, kind, target, requests answered, seconds)
        """
        rows = tuple(by_kind) or [
            (UNKNOWN_SERVICE, UNKNOWN_KIND, target_id, answered, busy_s)
            for target_id, answered, busy_s, _ in work
        ]
        for service, kind, target_id, answered, busy_s in rows:
            if answered <= 0 or busy_s <= 0:
                continue
            if service != UNKNOWN_SERVICE or target_id not in self._service_of:
                self._service_of[target_id] = service
            if self._service_of[target_id] == service:
                speeds = self._services.setdefault(service, _ServiceSpeeds())
                speeds.add(kind, target_id, answered, busy_s / answered)

    def service_s(self, target_id: TargetId) -> float:
        """Return a target's mean time in seconds for the usual mix of requests.

        A target without answers is taken to have the mean speed.
        """
        service = self._service_of.get(target_id)
        if service is not None:
            speeds = self._services[service]
            return speeds.usual_s() / speeds.speed(target_id)
        known = [s for name, s in self._services.items() if name != UNKNOWN_SERVICE]
        known = known or list(self._services.values())
        answered = sum(speeds.answered for speeds in known)
        if not answered:
            return INITIAL_SERVICE_S
        return sum(s.answered * s.usual_s() for s in known) / answered

    def speed(self, target_id: TargetId) -> float:
        """Return a target's speed; 1 is the geometric mean of its service's targets."""
        service = self._service_of.get(target_id)
        return 1.0 if service is None else self._services[service].speed(target_id)

    def answers(self, target_id: TargetId) -> int:
        """Return the number of answers from which a target's speed was learned."""
        service = self._service_of.get(target_id)
        return 0 if service is None else self._services[service].answers(target_id)


class _ServiceSpeeds:
    """The speeds of one service's targets, and the usual times of its kinds."""

    def __init__(self):
        self.answered = 0
        self._usual_s: dict[str, float] = {}
        self._counts: dict[str, float] = {}
        self._slowness: dict[TargetId, float] = {}  # logarithms
        self._answers: dict[TargetId, int] = {}
        self._slowness_sum = 0.0

    def add(self, kind, target_id, answered, mean_s):
        """Add answers of one kind with their mean time."""
        usual_s = self._usual_s.setdefault(kind, mean_s)
        count = self._counts.get(kind, 0.0)
        slowness = self._slowness.setdefault(target_id, self._mean_slowness())
        if target_id not in self._answers:
            self._slowness_sum += slowness
        before = self._answers.get(target_id, 0)
        deviation = math.log(mean_s / usual_s) - self._relative(target_id)
        if before >= CLIPPED_FROM:
            deviation = max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
        share = max(
            answered / (before + answered + PRIOR_ANSWERS),
            1 - (1 - SMOOTHING) ** answered,
        )
        self._slowness[target_id] += share * deviation
        self._slowness_sum += share * deviation
        self._answers[target_id] = before + answered
        self.answered += answered
        share = max(answered / (count + answered), 1 - (1 - KIND_SMOOTHING) ** answered)
        expected_s = mean_s * math.exp(-self._relative(target_id))
        self._usual_s[kind] += share * (expected_s - usual_s)
        decay = (1 - KIND_SMOOTHING) ** answered
        self._counts = {name: n * decay for name, n in self._counts.items()}
        self._counts[kind] = count * decay + answered

    def usual_s(self):
        """Return the mean time of the service's mix of requests at the mean speed."""
        total = sum(self._counts.values())
        return sum(n * self._usual_s[kind] for kind, n in self._counts.items()) / total

    def speed(self, target_id):
        """Return a target's speed; 1 if it has not answered yet."""
        known = target_id in self._slowness
        return math.exp(-self._relative(target_id)) if known else 1.0

    def answers(self, target_id):
        """Return the number of a target's answers."""
        return self._answers.get(target_id, 0)

    def _mean_slowness(self):
        return self._slowness_sum / len(self._answers) if self._answers else 0.0

    def _relative(self, target_id):
        return self._slowness[target_id] - self._mean_slowness()
