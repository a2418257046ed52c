"""The timers of the control plane, and the checks of their relations."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

Seconds = Annotated[float, Field(gt=0)]


class Timers(BaseModel):
    """Periods and leases of the control plane, all in seconds.

    Attributes
    ----------
    heartbeat_s : float
        How often a host asks its successor to renew its lease.
    lease_s : float
        Duration of a host's lease.
    act_s : float
        How long after its last confirmed reply a successor may act for a dead host
        without the store.  A host that cannot reach its successor waits as long before
        it names another.
    clock_drift : float
        Largest relative difference between the rates of two machines' clocks.
    probe_after_s : float
        Time without an answer after which a peer is probed, to detect its death.
    grant_s : float
        Duration of a grant to a target.
    renew_s : float
        How often a keeper renews its grants.
    suspect_s : float
        Time without an answer after which a target's grants are no longer renewed.
    route_refresh_s : float
        How often a host asks each keeper for its routes.
    route_lease_s : float
        Duration of the lease for the routes of one keeper.
    hold_s : float
        Maximum time for which a planned move may hold requests.
    store_call_s : float
        Timeout of one call of the store.
    watch_s : float
        Maximum time for which one watch call waits.
    gather_s : float
        Pause after a watch call that returned changes, so that the next one returns
        several, for stores that charge for calls.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    heartbeat_s: Seconds = 0.1
    lease_s: Seconds = 0.8
    act_s: Seconds = 0.6
    clock_drift: Annotated[float, Field(ge=0, lt=0.1)] = 0.01
    probe_after_s: Seconds = 0.2
    grant_s: Seconds = 0.8
    renew_s: Seconds = 0.2
    suspect_s: Seconds = 0.4
    route_refresh_s: Seconds = 0.2
    route_lease_s: Seconds = 0.4
    hold_s: Seconds = 1.0
    store_call_s: Seconds = 3.0
    watch_s: Seconds = 10.0
    gather_s: Annotated[float, Field(ge=0)] = 0.0

    @model_validator(mode="after")
    def _leases_outlast_two_renewals(self):
        pairs = (
            ("heartbeat_s", "lease_s"),
            ("heartbeat_s", "act_s"),
            ("renew_s", "grant_s"),
            ("route_refresh_s", "route_lease_s"),
        )
        for period, lease in pairs:
            if getattr(self, lease) < 2 * getattr(self, period):
                raise ValueError(
                    f"{lease}={getattr(self, lease)} must be at least twice "
                    f"{period}={getattr(self, period)}, or one lost message lets "
                    f"it lapse"
                )
        return self

    @model_validator(mode="after")
    def _another_successor_can_be_named_in_time(self):
        if self.max_duration_s(self.act_s) >= self.lease_s:
            raise ValueError(
                f"act_s={self.act_s} must be shorter than lease_s={self.lease_s}, "
                "or a host loses its lease whenever it loses its successor"
            )
        return self

    def max_duration_s(self, lease_s: float) -> float:
        """Return the longest duration of a lease of `lease_s`, on the slowest clock."""
        return lease_s * (1 + self.clock_drift)
