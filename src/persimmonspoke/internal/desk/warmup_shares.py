"""Which part of a cold target's requests each desk of a service may assign."""

FALLBACK_SHARE = 0.25


def warmup_share(rank: int, live: int, known: int) -> float:
    """Return the share of a cold target's limit that a desk may use.

    The sum over the first desks of all parts into which the fleet is cut is at most
    1.5: at most one part has a majority, and the others use their shares of the hosts.
    The further desks of a part add at most half of that.

    Parameters
    ----------
    rank : int
        Position of the desk's host among the hosts that may be the desk; 0 is first.
    live, known : int
        Hosts that this one takes for alive, and hosts that are recorded, both with
        this one.
    """
    share = 1.0 if 2 * live > known else live / known
    return share if rank == 0 else share * FALLBACK_SHARE / 2 ** (rank - 1)
