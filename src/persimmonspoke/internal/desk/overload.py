"""Which requests wait, and in which order, while targets get more than they serve.

A request is *likely in time* while an answer before its objective is probable enough,
given the speed of its target and the spread of its answer times.  Such requests are
served first.  Requests that have come back after a refusal wait behind them for idle
slots, until they get one or their deadline passes.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from persimmonspoke.internal.desk.settings import DeskSettings
from persimmonspoke.internal.desk.waiting import WaitingRequest


@dataclass(frozen=True, slots=True)
class Outlook:
    """What a request can expect of the targets that may serve it.

    Attributes
    ----------
    service_s : float
        Expected time from its start to its answer.
    capacity : float
        Work done per second, in seconds of the expected time; the number of busy slots
        at targets that differ little.
    variation : float
        Squared coefficient of variation of the answer times.
    """

    service_s: float
    capacity: float
    variation: float


def chance_in_time(left_s: float, wait_s: float, outlook: Outlook) -> float:
    """Return the probability of an answer within `left_s`, after a wait.

    The time of the answer is taken to be log-normal.  The wait varies less than a
    service time does, because several requests end while it lasts.

    Parameters
    ----------
    wait_s : float
        Expected wait for a slot.
    """
    if left_s <= 0:
        return 0.0
    service_s = outlook.service_s
    mean_s = wait_s + service_s
    other_s = wait_s / max(1.0, outlook.capacity)
    variance = outlook.variation * service_s * (service_s + other_s)
    log_variance = math.log1p(variance / mean_s**2)
    log_mean = math.log(mean_s) - log_variance / 2
    deviation = (math.log(left_s) - log_mean) / math.sqrt(log_variance)
    return 0.5 * math.erfc(-deviation / math.sqrt(2))


def may_wait(cfg: DeskSettings, left_s: float, wait_s: float, outlook: Outlook) -> bool:
    """Return whether a request may wait among those that are served first.

    After a long wait there must be room for a long answer.  After a short one, a
    sufficient probability is enough: without a short queue, slots would be idle between
    two requests.

    Parameters
    ----------
    left_s : float
        Time until the request's objective.
    wait_s : float
        Expected wait for a slot.
    """
    service_s = outlook.service_s
    if wait_s <= left_s - cfg.long_factor * service_s:
        return True
    if wait_s > cfg.short_queue * service_s:
        return False
    return chance_in_time(left_s, wait_s, outlook) >= cfg.min_chance


def may_wait_behind(
    cfg: DeskSettings,
    queue: Sequence[WaitingRequest],
    left_s: float,
    wait_s: float,
    outlook: Outlook,
) -> bool:
    """Return whether a request that came back may join those that wait behind.

    It is not refused again for a small chance to be in time, since the next refusal
    would cost the caller more; but at once if its caller gives up before any answer.

    Parameters
    ----------
    left_s : float
        Time until the request's deadline.
    wait_s : float
        Least wait for a slot, behind all other requests.
    """
    return len(queue) < cfg.max_returned and wait_s + outlook.service_s <= left_s
