"""When a request that waits in vain is refused."""

from persimmonspoke.ids import Instant

ANSWER_MARGIN_S = 0.02  # for the refusal to reach the caller before it gives up
MAX_MARGIN_SHARE = 0.25


def wait_end(deadline: Instant, now: Instant) -> Instant:
    """Return when a wait that begins now has to end, shortly before `deadline`."""
    left_s = max(0.0, deadline - now)
    return Instant(deadline - min(ANSWER_MARGIN_S, MAX_MARGIN_SHARE * left_s))
