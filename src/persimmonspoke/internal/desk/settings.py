"""Limits and periods of the desks that lend slots to single requests."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]


class DeskSettings(BaseModel):
    """How slots are lent, and who is refused.

    Attributes
    ----------
    sync_s : float
        How often a host with open requests compares notes with a desk.
    call_s : float
        Time allowed to one such comparison.
    avoid_s : float
        How long a desk that did not answer is passed over.
    grace_s : float
        How old a loan must be before a host that does not name it has lost it.
    forget_s : float
        How long a silent host's loans are counted.
    long_factor : float
        Length of a long answer, in usual ones: a request joins a queue if even a
        long answer would come before its objective.
    short_queue : float
        Length of a short queue, in usual answers: a request joins one if only a usual
        answer would come in time.
    late_wait_s : float
        Longest queue that a request joins which misses its objective anyway.
    stuck_factor, stuck_s : float
        A target that has answered nothing for `stuck_factor` usual answers and
        `stuck_s`, with requests in hand, gets no more than a probe.
    probe_s : float
        How often a stuck target is tried by one request.
    far_factor : float
        How much slower a target in the same data centre may be and still be
        preferred to one in another.
    retry_share : float
        Repeats allowed, as a share of the requests of this host.
    retry_burst : float
        Repeats that a service may save up on this host.
    retry_saved : float
        The same on all hosts together; half of what the platform allows each service
        besides its share.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    sync_s: Seconds = 0.3
    call_s: Seconds = 0.2
    avoid_s: Seconds = 1.0
    grace_s: Seconds = 0.3
    forget_s: Seconds = 1.2
    long_factor: Annotated[float, Field(ge=1)] = (
        2.2  # nine of ten and the queue's own spread
    )
    short_queue: Annotated[float, Field(ge=0)] = 1.0  # 0.5 left slots idle
    late_wait_s: Seconds = 0.1
    stuck_factor: Seconds = 5.0
    stuck_s: Seconds = 0.3
    probe_s: Seconds = 0.5
    far_factor: Annotated[float, Field(ge=1)] = 1.5
    retry_share: Share = 0.1
    retry_burst: Annotated[float, Field(ge=1)] = 4.0
    retry_saved: Annotated[float, Field(ge=1)] = 25.0
