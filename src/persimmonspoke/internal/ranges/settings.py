"""Settings of the keeper of key ranges."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

LEAVING_SHARE = 0.7  # the rest is for the news to arrive and requests to be sent
HOLD_SHARE = 0.8
EVACUATION_SHARE = 0.8  # the rest is for requests that have just been sent to arrive

Seconds = Annotated[float, Field(gt=0)]


class RangeSettings(BaseModel):
    """How grants are renewed and keys are moved.

    Attributes
    ----------
    hold_s : float
        Length of a grant; the keys of a target that died are unavailable for as long.
    renew_s : float
        How often grants are renewed.
    outage_hold_s : float
        Length of a grant while the store is silent, when a lost leader can't be
        replaced.
    probe_hold_s : float
        Length of a grant to a target that has not answered for `doubt_s`.
    order_s : float
        Timeout of one grant.
    confirm_s : float
        How long grants wait until this host is confirmed as the leader, before they go
        over a new connection.
    doubt_s : float
        Time without any answer after which a target gets only short grants.
    silent_s : float
        Time without any answer after which a target that accepts connections counts
        as lost; no longer than its last grant may last anyway.
    release_s : float
        Timeout of one release, which waits until the target's requests are finished.
    retry_s : float
        Pause before a failed release is sent again, and after a failed move.
    clock_drift : float
        Largest relative amount by which a target's clock may run slow, according to
        the platform.
    transit_s : float
        Added to the end of each grant for the clocks' resolution.
    leaving_grace_s : float
        How long a leaving owner still gets requests, while its keys are transferred.
    evacuation_grace_s : float
        The same for an owner in an evacuated data centre.
    settle_s, settle_most_s : float
        Keys are first assigned once no target has registered for `settle_s`, and
        after `settle_most_s` in any case.
    plan_s : float
        Period at which moves are planned.
    even_s : float
        Pause between two rounds of moves while no target is overloaded; moves of one
        round share a commit.
    load_s : float
        Time constant of the decay of measured load.
    burst_s : float
        Time constant for sudden load: two to three reports, so that hot keys are
        detected within a second.
    lasting_s : float
        Time constant for load that lasts: several hot spells.
    gather_s : float
        Time for which the commit of a move waits for others to share its write; a part
        of the time for which a move stops its keys.
    moves : int
        Number of transfers of one service in progress at which no further planned
        move is started.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    hold_s: Seconds = 2.5
    renew_s: Seconds = 0.6
    outage_hold_s: Seconds = 8.0
    probe_hold_s: Seconds = 1.0
    order_s: Seconds = 0.35
    confirm_s: Seconds = 0.6
    doubt_s: Seconds = 1.0
    silent_s: Seconds = 2.4
    release_s: Seconds = 1.5
    retry_s: Seconds = 0.2
    clock_drift: Annotated[float, Field(ge=0, lt=0.1)] = 0.02
    transit_s: Seconds = 0.05
    leaving_grace_s: Seconds = 1.4
    evacuation_grace_s: Seconds = 4.0
    settle_s: Seconds = 1.0
    settle_most_s: Seconds = 4.0
    plan_s: Seconds = 0.1
    even_s: Seconds = 2.0
    load_s: Seconds = 2.0
    burst_s: Seconds = 0.5
    lasting_s: Seconds = 10.0
    gather_s: Annotated[float, Field(ge=0)] = 0.06
    moves: Annotated[int, Field(ge=1)] = 32

    def within(
        self, drain_s: float, hold_max_s: float, evacuate_s: float | None = None
    ) -> "RangeSettings":
        """Return the settings that keep the platform's bounds, all in seconds.

        Parameters
        ----------
        drain_s : float
            Bound on leaving targets.
        hold_max_s : float
            Bound on grants.
        evacuate_s : float or None
            Bound on evacuated targets; None if data centres are never evacuated.
        """
        evacuation_grace_s = self.evacuation_grace_s
        if evacuate_s is not None:
            evacuation_grace_s = EVACUATION_SHARE * evacuate_s
        return self.model_copy(
            update={
                "evacuation_grace_s": evacuation_grace_s,
                "leaving_grace_s": LEAVING_SHARE * drain_s,
                "hold_s": min(self.hold_s, HOLD_SHARE * hold_max_s),
                "outage_hold_s": min(self.outage_hold_s, HOLD_SHARE * hold_max_s),
            }
        )

    def max_duration_s(self, hold_s: float) -> float:
        """Return how long a grant of `hold_s` may last on the slowest target clock."""
        return hold_s * (1 + self.clock_drift) + self.transit_s
