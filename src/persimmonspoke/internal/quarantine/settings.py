"""Settings of the quarantine of requests under which targets end."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]


class QuarantineSettings(BaseModel):
    """When requests are refused because targets end under them, and for how long.

    Attributes
    ----------
    max_crashes : int
        Number of targets that may end under a request, without a whole answer in
        between, before it is refused.
    trial_s : float
        Time from then until one trial is allowed.
    trial_factor : float
        Factor by which that time grows with each trial.
    max_trials : int
        Number of trials.
    forget_s : float
        Time without a crash or a trial after which a request is forgotten.
    max_requests : int
        Number of requests that are remembered.
    sync_s : float
        Interval at which the leader checks whether to store its list.
    store_call_s : float
        Timeout of one call of the store.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    max_crashes: Count = 3
    trial_s: Seconds = 20.0
    trial_factor: Annotated[float, Field(ge=1)] = 4.0
    max_trials: Annotated[int, Field(ge=0)] = 3
    forget_s: Seconds = 3600.0
    max_requests: Count = 512
    sync_s: Seconds = 0.2
    store_call_s: Seconds = 1.0
