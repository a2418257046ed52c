"""Settings of the connections to targets."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]


class TargetSettings(BaseModel):
    """Limits and intervals for connections to targets.

    Attributes
    ----------
    connect_s : float
        Maximum time for one connection attempt.
    proved_alive_s : float
        Time after its last answer during which a connection is assumed to work.
    idle_s : float
        Time after which an idle connection is closed.
    tidy_s : float
        Interval between checks of idle connections and connection limits.
    silence_share : float
        Share of the remaining time after which an idempotent request that gets no
        answer on an older connection is also sent on a new one.
    end_check_s : float
        Maximum time for finding out whether a target that closed a connection without
        an answer has ended.
    cancel_s : float
        Maximum time for one cancellation.
    cancel_tasks : int
        Maximum number of concurrent cancellations; more are dropped.
    chunk_bytes : int
        Maximum size of one chunk of an answer.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    connect_s: Seconds = 0.5
    proved_alive_s: Seconds = 0.05
    idle_s: Seconds = 15.0
    tidy_s: Seconds = 1.0
    silence_share: Annotated[float, Field(gt=0, lt=1)] = 0.25
    end_check_s: Seconds = 0.1
    cancel_s: Seconds = 1.0
    cancel_tasks: Annotated[int, Field(ge=1)] = 32
    chunk_bytes: Annotated[int, Field(ge=1024)] = 65536
