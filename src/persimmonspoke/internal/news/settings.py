"""Settings of the updates that a host gets from the store and from relays."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]

STALE_SHARE = 0.65
WAIT_SHARE = 0.2
CHECK_SHARE = 0.15
GATHER_SHARE = 0.08
READ_SHARE = 0.25
READ_TIMEOUT_SHARE = 0.2
WATCH_SHARE = 0.2
RARE_READ_SHARE = 0.3
RARE_STALE_SHARE = 0.55
RARE_WATCH_SHARE = 2.0
MAX_RARE_WATCH_S = 10.0  # longer waits may be cut off on the way
MARGIN_SHARE = 0.2
APPLY_SHARE = 0.15
SEND_SHARE = 0.85  # the rest is for the way to the target
LIST_TIMEOUT_SHARE = 0.15
SEND_ASK_SHARE = SEND_SHARE - LIST_TIMEOUT_SHARE - 0.02  # no answer is known by then

MAX_JITTER_S = 0.2  # spreads the reads of hosts that lose their relays together
WATCH_RETRY_S = 0.4  # pause after a watch that got no answer


class UpdateSettings(BaseModel):
    """How few hosts read the store, and when another host reads it itself.

    Attributes
    ----------
    min_relays : int
        Number of relays of a small fleet.
    hosts_per_relay : int
        Hosts of a large fleet for each relay.
    wait_s : float
        How long a relay may wait for a change before it answers.
    check_s : float
        How often a host that reads the store checks that the store can be reached.
    gather_s : float
        Pause after a watch that returned changes, so that the next one returns several.
    stale_s : float
        Time without confirmation after which a host reads the store itself.
    fallback_s : float
        How long it then goes on doing so.
    read_s : float
        How often a relay lists the objects for whose age there is a bound.
    read_timeout_s : float
        How long it waits for such a listing.
    watch_s : float
        Unit of the time for which a watch waits; a lost answer is noticed when it is
        due.
    watch_margin_s : float
        How long after that the answer may still come.
    rare_read_s : float
        How often a relay lists the objects that change rarely and have a longer bound.
    rare_stale_s : float
        Age of the proof that these are the newest at which any host lists them itself.
    rare_watch_s : float
        How long a watch of these waits.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    min_relays: Annotated[int, Field(ge=1)] = 2
    hosts_per_relay: Annotated[int, Field(ge=1)] = 100
    wait_s: Seconds = 0.4
    check_s: Seconds = 0.3
    gather_s: Seconds = 0.16
    stale_s: Seconds = 1.3
    fallback_s: Seconds = 3.0
    read_s: Seconds = 0.5
    read_timeout_s: Seconds = 0.4
    watch_s: Seconds = 0.4
    watch_margin_s: Seconds = 0.4
    rare_read_s: Seconds = 1.5
    rare_stale_s: Seconds = 2.75
    rare_watch_s: Seconds = 10.0

    def arrival_times(self) -> dict[str, float]:
        """Return the time until a change starts to arrive at a host, by what fails.

        It counts from the acknowledgement, in seconds, at the worst moment.
        """
        # The host may have just begun to wait for another relay.
        listed_s = max(self.read_s, self.read_timeout_s) + self.wait_s
        return {
            "nothing": self.gather_s,
            "a relay's watch is silent": listed_s,
            "the answer to a relay is lost": listed_s + self.read_s,
            "all relays are silent": self.stale_s + MAX_JITTER_S,
        }

    def unkept(self, bound_s: float) -> dict[str, float]:
        """Return the `arrival_times` that leave too little of a bound for the rest.

        The rest is to carry, decode and apply the change.
        """
        latest_s = (1 - APPLY_SHARE) * bound_s
        times = self.arrival_times()
        return {fails: time_s for fails, time_s in times.items() if time_s > latest_s}

    def rare_within(self, bound_s: float) -> "UpdateSettings":
        """Return the settings with which rare changes arrive within `bound_s` seconds.

        The watch tells of a change soon, and the listings what it has missed.  They
        also date the change, and the older the last listing, the earlier an owner gets
        no more requests.  So listings are as rare as leaves half of the bound for the
        transfer of its keys.
        """
        return self.model_copy(
            update={
                "rare_read_s": RARE_READ_SHARE * bound_s,
                "rare_stale_s": RARE_STALE_SHARE * bound_s,
                "rare_watch_s": min(RARE_WATCH_SHARE * bound_s, MAX_RARE_WATCH_S),
            }
        )

    def within(self, bound_s: float) -> "UpdateSettings":
        """Return the settings with which updates arrive within `bound_s` seconds.

        A relay's last check and one wait pass before a host that lost its relays
        notices it; the rest is for its own read and for orders that follow.
        """
        return self.model_copy(
            update={
                "wait_s": WAIT_SHARE * bound_s,
                "check_s": CHECK_SHARE * bound_s,
                "gather_s": GATHER_SHARE * bound_s,
                "stale_s": STALE_SHARE * bound_s,
                "read_s": READ_SHARE * bound_s,
                "read_timeout_s": READ_TIMEOUT_SHARE * bound_s,
                "watch_s": WATCH_SHARE * bound_s,
                "watch_margin_s": MARGIN_SHARE * bound_s,
            }
        )
