"""Settings of the connections to targets."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]


class TargetSettings(BaseModel):
    """How this host deals with connections to targets.

    Attributes
    ----------
    connect_s : float
        Longest time that one connection attempt may take.
    proved_alive_s : float
        How long after its last answer a connection counts as proved alive.
    idle_s : float
        How long an idle connection is kept.
    tidy_s : float
        How often idle connections and limits are looked at.
    silence_share : float
        Share of the time left after which an idempotent request that hears nothing
        on an old connection is repeated on a new one.
    cancel_s : float
        Longest time that one cancellation may take.
    cancel_tasks : int
        Largest number of cancellations at a time; more are dropped.
    chunk_bytes : int
        Largest piece of an answer held at a time.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    connect_s: Seconds = 0.5
    proved_alive_s: Seconds = 0.05
    idle_s: Seconds = 15.0
    tidy_s: Seconds = 1.0
    silence_share: Annotated[float, Field(gt=0, lt=1)] = 0.25
    cancel_s: Seconds = 1.0
    cancel_tasks: Annotated[int, Field(ge=1)] = 32
    chunk_bytes: Annotated[int, Field(ge=1024)] = 65536
