"""The last seconds of a host that is stopped as planned."""

from collections.abc import Callable

from persimmonspoke.daemon.gate import HostGate
from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock


def serve_until_stop(
    gate: HostGate,
    clock: Clock,
    unready_at: Instant,
    ends_at: Instant,
    end_connections: Callable[[Instant], None],
) -> bool:
    """Serve the last requests; return whether all of them have been answered.

    Nothing is admitted any more then, so that the process can end.

    Parameters
    ----------
    unready_at : Instant
        When the balancer has noticed that this host is not ready.  Requests that come
        later, on kept connections, are admitted only if they end before `ends_at`.
    ends_at : Instant
        When the process ends, whether or not requests are in flight.
    end_connections : callable
        Closes the listeners and waits until no connection is open, or until an instant.
    """
    clock.sleep_until(unready_at)
    gate.ends_at = ends_at
    all_answered = gate.wait_until_idle(ends_at)
    gate.stopping = True
    end_connections(ends_at)
    return all_answered
