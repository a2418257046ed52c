"""Detection of runs of other hosts that are dead."""

from persimmonspoke.ids import Instant
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.membership.directory import Directory
from persimmonspoke.internal.membership.record import HostRecord
from persimmonspoke.internal.membership.settings import NodeSettings
from persimmonspoke.internal.peers.api import Liveness, PeerAddress, PeerLink


class LivenessProber:
    """Probes other runs, and records those that are dead in the directory."""

    def __init__(
        self, cfg: NodeSettings, clock: Clock, link: PeerLink, directory: Directory
    ):
        self._cfg = cfg
        self._clock = clock
        self._link = link
        self._directory = directory

    def probe_record(self, record: HostRecord) -> Liveness:
        """Probe the run that `record` describes, and record it if it is dead."""
        if record.host_id == self._cfg.host_id:
            return Liveness.ANSWERS
        return self.probe(record.address)

    def probe(self, peer: PeerAddress) -> Liveness:
        """Probe the run at an address, and record it if it is dead."""
        if peer.host_id in self._directory.dead:
            return Liveness.DEAD
        deadline = Instant(self._clock.now() + self._cfg.timers.heartbeat_s)
        liveness = self._link.probe(peer, deadline)
        if liveness is Liveness.DEAD:
            self._directory.dead.add(peer.host_id)
        return liveness
