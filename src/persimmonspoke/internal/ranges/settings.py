"""Periods and limits of the keeper of key ranges."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]


class RangeSettings(BaseModel):
    """How grants are renewed and keys are moved.

    Attributes
    ----------
    hold_s : float
        Length of a grant; the keys of a target that died are closed for as long.
    renew_s : float
        How often grants are renewed.
    outage_hold_s : float
        Length of a grant while the store is silent, when a lost leader can't be
        replaced.
    probe_hold_s : float
        Length of a grant to a target in doubt.
    order_s : float
        Time allowed to one grant.
    doubt_s : float
        Time without any answer from which a target gets short grants only.
    silent_s : float
        Time without any answer after which a target that takes orders counts as
        lost; no longer than its last grant may last anyway.
    release_s : float
        Time allowed to one release, which waits for the target's work in hand.
    retry_s : float
        Pause before a release is sent again.
    clock_drift : float
        How much slower a target's clock may run, as the platform says.
    transit_s : float
        Added to the end of each grant for the clocks' resolution.
    leaving_grace_s : float
        How long a leaving owner still gets requests, while its keys are moved; the
        platform allows 2 s from the store's answer.
    settle_s, settle_most_s : float
        Keys are first dealt out once no target has registered for `settle_s`, and
        after `settle_most_s` in any case.
    plan_s : float
        How often the load is looked at.
    even_s : float
        Pause between two rounds of moves while no target is overloaded.
    load_s : float
        Time constant of the decay of measured load.
    burst_s : float
        The same for sudden load: two to three reports, so that hot keys are seen
        within a second.
    moves : int
        Planned moves of one service under way at a time.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    hold_s: Seconds = 2.5
    renew_s: Seconds = 0.6
    outage_hold_s: Seconds = 8.0
    probe_hold_s: Seconds = 1.0
    order_s: Seconds = 0.35
    doubt_s: Seconds = 1.0
    silent_s: Seconds = 2.4
    release_s: Seconds = 1.5
    retry_s: Seconds = 0.2
    clock_drift: Annotated[float, Field(ge=0, lt=0.1)] = 0.02
    transit_s: Seconds = 0.05
    leaving_grace_s: Seconds = 1.4
    settle_s: Seconds = 1.0
    settle_most_s: Seconds = 4.0
    plan_s: Seconds = 0.1
    even_s: Seconds = 0.3
    load_s: Seconds = 2.0
    burst_s: Seconds = 0.5
    moves: Annotated[int, Field(ge=1)] = 3

    def longest(self, hold_s: float) -> float:
        """Return how long a grant of `hold_s` may last on the slowest clock."""
        return hold_s * (1 + self.clock_drift) + self.transit_s
