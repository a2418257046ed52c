"""What a move of keys gains and costs its callers, both as a number of requests."""

from dataclasses import dataclass
from enum import Enum

# Requests that a write to the store has to help: it takes part of the store's limited
# rate, and a move that helps fewer is within the noise of the measured load.
COMMIT_COST = 2.0
# Moving all keys once costs callers as much as all requests of this time: each key is
# refused for a moment, and its new owner starts without what the former one knew.
KEYS_COST_S = 1.5
PAUSE_S = 0.3  # usual time for which a move stops its keys
PAUSE_COST = 0.5  # of a request that waits for a move
MIN_GAIN_RATIO = 1.2  # gain over cost; estimates of load are noisy


class MoveCause(Enum):
    """The load that a move answers."""

    HOT_RUN = "hot_run"
    DOMINANT_KEY = "dominant_key"
    NEIGHBOURS = "neighbours"
    OVERLOAD = "overload"
    UNEVEN = "uneven"
    FIRST_DEAL = "first_deal"
    MERGE = "merge"


@dataclass(frozen=True, slots=True)
class MoveReason:
    """What decided a planned move; for the log.

    Attributes
    ----------
    utilisation, mean : float
        Utilisation of the owner, and of all targets together.
    rate : float
        Requests a second for the keys that move.
    gain, cost : float
        Requests that the move saves, and that it costs.
    """

    cause: MoveCause
    utilisation: float
    mean: float
    rate: float
    gain: float
    cost: float

    def log_fields(self) -> dict[str, object]:
        """Return the fields for a log line."""
        return {
            "cause": self.cause.value,
            "utilisation": round(self.utilisation, 3),
            "mean_utilisation": round(self.mean, 3),
            "rate": round(self.rate, 2),
            "gain": round(self.gain, 1),
            "cost": round(self.cost, 1),
        }


def move_cost(key_share: float, rate: float, total_rate: float) -> float:
    """Return what a move costs, as a number of requests.

    Parameters
    ----------
    key_share : float
        Share of all keys that move.
    rate, total_rate : float
        Requests a second for these keys, and for all keys of the service.
    """
    pause = PAUSE_COST * PAUSE_S * rate
    return COMMIT_COST + KEYS_COST_S * total_rate * key_share + pause


def is_worth(gain: float, cost: float) -> bool:
    """Return whether a move gains clearly more than it costs."""
    return gain >= MIN_GAIN_RATIO * cost
