"""Settings of the scheduler."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

Seconds = Annotated[float, Field(gt=0)]


class SchedulingSettings(BaseModel):
    """Periods and limits of queues, permits and retries.

    Attributes
    ----------
    permit_s : float
        Length of the lease under which a host holds permits.
    renew_s : float
        How often a host that holds permits reports to their lender.
    turn_s : float
        How long a holder may reuse its permits while other hosts wait for them.
    report_gap_s : float
        Minimum time between two reports about one group.
    call_s : float
        Timeout of one call between hosts.
    avoid_s : float
        How long a lender that did not answer is skipped.
    clock_drift : float
        Largest relative difference between the rates of two machines' clocks.
    leaving_grace_s : float
        How long the sole owner of a key still gets new work after it began to leave.
    max_waiting : int
        Maximum number of requests that wait for one group of targets on one host.
    retry_share : float
        Retries allowed, as a share of first attempts.
    retry_burst : float
        Retries that a service may accumulate.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)

    permit_s: Seconds = 1.0
    renew_s: Seconds = 0.25
    turn_s: Seconds = 0.025
    report_gap_s: Seconds = 0.002
    call_s: Seconds = 0.2
    avoid_s: Seconds = 1.0
    clock_drift: Annotated[float, Field(ge=0, lt=0.1)] = 0.01
    leaving_grace_s: Seconds = 2.0
    max_waiting: Annotated[int, Field(ge=1)] = 1000
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.1
    retry_burst: Annotated[float, Field(ge=1)] = 10.0

    @model_validator(mode="after")
    def _lease_outlasts_two_renewals(self):
        if self.permit_s < 2 * self.renew_s:
            raise ValueError(
                f"permit_s={self.permit_s} must be at least twice "
                f"renew_s={self.renew_s}, or one lost report ends the lease"
            )
        return self
