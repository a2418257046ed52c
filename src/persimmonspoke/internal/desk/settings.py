"""Limits and periods of the desks, which assign slots to single requests."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]
Share = Annotated[float, Field(ge=0, le=1)]


class DeskSettings(BaseModel):
    """Rules by which a desk assigns slots and refuses requests.

    Attributes
    ----------
    sync_s : float
        How often a host sends a desk the list of its open requests.
    hosts_per_sync : float
        Number of live hosts above which a host sends the list less often, in
        proportion, unless a request of it waits.
    call_s : float
        Timeout of the call that sends the list.
    avoid_s : float
        How long a host is not used as a desk after it did not answer as one.
    grace_s : float
        Age from which a slot in use or a waiting request is dropped by the desk if
        the list of its host does not contain it.
    forget_s : float
        Silence of a host after which the desk frees the host's slots and drops its
        waiting requests.
    long_factor : float
        Duration of a long answer, as a multiple of the typical answer time.  A request
        may queue if even a long answer would arrive before its objective.
    short_queue : float
        Wait that counts as short, as a multiple of the typical answer time.  A request
        may wait that long if an answer before its objective is likely.
    min_chance : float
        Probability of an answer before the objective from which a request counts as
        one that can be in time.
    max_returned : int
        Waiting requests in one queue up to which requests that came back after a
        refusal may join it without a good chance.
    stuck_factor, stuck_s : float
        A target with requests in flight is stuck, and gets only probes, if it has
        answered nothing for `stuck_factor` typical answer times and for `stuck_s`.
    probe_s : float
        How often one request is sent to a stuck target as a probe.
    far_factor : float
        How much slower a target in the same data centre may be and still be
        preferred to one in another.
    connect_factor : float
        How much slower a target to which the host has an idle connection may be and
        still be preferred to one to which it has none.
    idle_connection_s : float
        Time after an answer for which a host is taken to have an idle connection.
    retry_share : float
        Retries allowed, as a share of the requests of this host.
    retry_burst : float
        Retries that a service may accumulate on this host.
    retry_saved : float
        Retries that a service may accumulate on all hosts together; half of what
        the platform allows each service in addition to its share.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    sync_s: Seconds = 0.3
    hosts_per_sync: Annotated[float, Field(ge=1)] = 60.0
    call_s: Seconds = 0.2
    avoid_s: Seconds = 1.0
    grace_s: Seconds = 0.3
    forget_s: Seconds = 1.2
    long_factor: Annotated[float, Field(ge=1)] = (
        2.2  # covers the 90th percentile and the spread of the wait
    )
    short_queue: Annotated[float, Field(ge=0)] = 1.0  # slots idled with 0.5
    min_chance: Share = 0.6  # 0.75 gives the same value of answers within 0.006
    max_returned: Annotated[int, Field(ge=0)] = 1000  # some 50 for each of 20 hosts
    stuck_factor: Seconds = 5.0
    stuck_s: Seconds = 0.3
    probe_s: Seconds = 0.5
    far_factor: Annotated[float, Field(ge=1)] = 1.5
    connect_factor: Annotated[float, Field(ge=1)] = 1.5
    idle_connection_s: Seconds = 4.0
    retry_share: Share = 0.1
    retry_burst: Annotated[float, Field(ge=1)] = 4.0
    retry_saved: Annotated[float, Field(ge=1)] = 25.0
