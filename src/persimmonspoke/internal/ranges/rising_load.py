"""Estimates the load of keys that have just become hot and are measured too low."""

from persimmonspoke.internal.ranges.load_view import LoadView
from persimmonspoke.internal.ranges.loads import Loads
from persimmonspoke.internal.ranges.ranges import KeyRange

MAX_AGE_S, AGE_STEP_S = 2.0, 0.1  # of load that may still rise
MAX_GROWTH = 2.0  # more is noise of the first report
FALLING_RATIO = 0.65  # rates by the shorter over those by the longer average


def is_falling(view: LoadView, piece: KeyRange, longer: Loads) -> bool:
    """Return whether the load of a piece is ending, as after a hot spell."""
    rate = view.loads.rate(view.service, piece)
    return rate < FALLING_RATIO * longer.rate(view.service, piece)


def expected_growth(view: LoadView, piece: KeyRange, longer: Loads | None) -> float:
    """Return the rate that a piece will be measured to have, over its present one.

    The average over a longer time follows later, so the ratio of the two tells for how
    long the piece has been hot.

    Parameters
    ----------
    longer : Loads or None
        Averages over a longer time than those of the view; None if there are none.
    """
    if longer is None:
        return 1.0
    rate = view.loads.rate(view.service, piece)
    longer_rate = longer.rate(view.service, piece)
    if longer_rate <= 0:
        return 1.0
    age_s = 0.0
    while age_s < MAX_AGE_S:
        age_s += AGE_STEP_S
        measured = view.loads.measured_share(age_s)
        if rate / longer_rate >= measured / longer.measured_share(age_s):
            break
    return min(MAX_GROWTH, 1 / view.loads.measured_share(age_s))
