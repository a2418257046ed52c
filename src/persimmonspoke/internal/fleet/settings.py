"""Settings of the fleet's leadership."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]


class FleetSettings(BaseModel):
    """How hosts elect a leader and detect that it is lost.

    Attributes
    ----------
    report_s : float
        How often a host reports to the leader.
    reports_per_s : float
        Number of reports per second that a leader gets at most; in a large fleet all
        hosts but the first candidates report less often.
    candidates : int
        Number of hosts that always report every `report_s`, and so notice early that
        the leader is lost.
    inquiries : int
        Number of hosts that are asked whether the leader is lost.
    call_s : float
        Timeout of one call between hosts.
    suspect_s : float
        Time without contact after which the leader is probed for proof of its death.
    silent_s : float
        Time without contact after which the first candidate takes over.
    step_s : float
        Additional waiting time of each further candidate.
    confirm_s : float
        How often the leader writes the object that names it.
    unchanged_s : float
        A host that reaches few others takes over only if the leader has not written
        the object for this long.
    lease_s : float
        How long the leader may give orders after a confirmation by the store.  It is
        longer than the store's typical outages, since no host can take over without
        the store.
    present_s : float
        How long a host counts as alive after its last report.
    store_call_s : float
        Timeout of one call of the store.
    yield_s, fresh_s : float
        A leader that has not reached the store for `yield_s` stops leading if the
        store answered another host less than `fresh_s` before that host's report.
    isolated_s : float
        How long that must have been so; longer than a call of the store and its retry.
    cut_s : float
        How long a leader's paths must have been cut until it lets another host lead
        whose paths are not, so that hosts that lost theirs with it have noticed.
    weak_s : float
        How long a leader leads on while a host with over twice its processor time
        could lead, so that a host that has just started knows the fleet.
    forget_s : float
        How long the record of a silent host is kept.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    report_s: Seconds = 0.2
    reports_per_s: Seconds = 200.0
    candidates: Annotated[int, Field(ge=1)] = 8
    inquiries: Annotated[int, Field(ge=1)] = 30
    call_s: Seconds = 0.3
    suspect_s: Seconds = 0.5
    silent_s: Seconds = 0.8
    step_s: Seconds = 0.3
    confirm_s: Seconds = 1.0
    unchanged_s: Seconds = 3.5
    lease_s: Seconds = 12.0
    present_s: Seconds = 1.2
    store_call_s: Seconds = 1.0
    yield_s: Seconds = 2.0
    fresh_s: Seconds = 1.5
    isolated_s: Seconds = 0.6
    cut_s: Seconds = 0.3
    weak_s: Seconds = 1.5
    forget_s: Seconds = 30.0
