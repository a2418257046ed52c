"""Metrics over the statsd protocol."""

import statsd

from persimmonspoke.daemon.observe_settings import Observe

PREFIX = "persimmonspoke"


class StatsdMetrics:
    """Sends each metric to statsd over UDP; does nothing without an address.

    Parameters
    ----------
    cfg : Observe
        Where statsd listens.
    """

    def __init__(self, cfg: Observe):
        self._client = None
        if cfg.statsd_ip is not None:
            self._client = statsd.StatsClient(
                cfg.statsd_ip,
                cfg.statsd_port,
                prefix=PREFIX,
                ipv6=":" in cfg.statsd_ip,
            )

    def incr(self, name: str, count: int = 1) -> None:
        """Add `count` to a counter."""
        if self._client is not None:
            self._client.incr(name, count)

    def timing(self, name: str, ms: float) -> None:
        """Record one duration, in milliseconds."""
        if self._client is not None:
            self._client.timing(name, ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)
