"""Forwards requests to hosts that reach the targets, and takes those of others.

A host that does not reach a target offers a caller's request to another host, which
treats it as its own: it asks the desk, sends it to the owner of the key, and answers as
it would answer a caller.  A forwarded request is not forwarded again.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from persimmonspoke.errors import (
    AnswerLost,
    PathsCut,
    TargetFenced,
    TargetRefusedConnection,
    TargetUnreachable,
)
from persimmonspoke.ids import HostId, Instant, RequestId, TargetId
from persimmonspoke.internal.callers.bodies import is_replayable
from persimmonspoke.internal.callers.request import CallerRequest
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.fleet.hosts import Hosts
from persimmonspoke.internal.fleet.messages import HostEntry
from persimmonspoke.internal.forwarding.settings import ForwardingSettings
from persimmonspoke.internal.questionnaire.configuration import TargetConfig
from persimmonspoke.internal.targets.paths import TargetPaths
from persimmonspoke.internal.targets.request_api import (
    Body,
    ForwardedFields,
    TargetAnswer,
    TargetRequest,
    TargetRequests,
    always_allowed,
    ignore_write,
)

FORWARD_PORT_OFFSET = 1  # from the port of the peer link to that for forwarded requests
NO_HOST_RETRY_S = 0.25  # about the time in which a host notices that its paths are back

log = logging.getLogger(__name__)


def others_are_better_placed(paths: TargetPaths, hosts: Hosts) -> bool:
    """Return whether other hosts should lead and get new callers, instead of this one.

    They should if this host reaches less than half of the targets and others do more.
    """
    return paths.is_cut and bool(hosts.reaching_targets())


class Reader(Protocol):
    """Reads callers' requests; see `callers.request.RequestReader`."""

    def request_id(self, environ: dict) -> RequestId:
        """Return the id of a request."""

    def read(self, environ: dict, request_id: RequestId) -> CallerRequest:
        """Return the checked request, or raise `RequestFailure`."""


class ForwardedReader:
    """Reads requests that other hosts forward.

    Parameters
    ----------
    fields_of : callable
        Returns the `ForwardedFields` of a WSGI environment; provided by the adapter.
    paths : TargetPaths
        This host's paths; a host that reaches no target takes no request.
    """

    def __init__(
        self,
        reader: Reader,
        fields_of: Callable[[dict], ForwardedFields],
        paths: TargetPaths,
    ):
        self._reader = reader
        self._fields_of = fields_of
        self._paths = paths

    def request_id(self, environ: dict) -> RequestId:
        """Return the caller's id for the request."""
        return self._reader.request_id(environ)

    def read(self, environ: dict, request_id: RequestId) -> CallerRequest:
        """Return the checked request, or raise `RequestFailure`."""
        if self._paths.is_cut:
            raise PathsCut("this host reaches no target either")
        fields = self._fields_of(environ)
        req = self._reader.read(environ, request_id)
        return replace(req, forwarded=fields)


class Forwarder:
    """Forwards this host's requests to hosts that reach the targets.

    Parameters
    ----------
    requests : TargetRequests
        Sends requests to other hosts as if these were targets.
    """

    def __init__(
        self,
        cfg: ForwardingSettings,
        clock: Clock,
        hosts: Hosts,
        requests: TargetRequests,
        rng: random.Random | None = None,
    ):
        self._cfg = cfg
        self._clock = clock
        self._hosts = hosts
        self._requests = requests
        self._rng = rng or random.Random()
        self._avoid_until: dict[tuple[HostId, TargetId | None], Instant] = {}
        self.forwarded_count = 0

    def is_possible(self, target_id: TargetId | None = None) -> bool:
        """Return whether any host is known that may take a request.

        Parameters
        ----------
        target_id : TargetId or None
            The target that has to serve the request; None if any target may.
        """
        return bool(self._usable(target_id))

    def send(
        self,
        req: CallerRequest,
        body: Body,
        target_id: TargetId | None,
        attempts: int,
        may_have_run: bool,
        may_repeat: Callable[[], bool] = always_allowed,
        before_write: Callable[[], None] = ignore_write,
    ) -> tuple[HostId, TargetAnswer]:
        """Forward a request; return the host that took it and its answer.

        Parameters
        ----------
        target_id : TargetId or None
            The target that has to serve the request; None if any target may.
        attempts : int
            Attempts so far that count against the route's limit.
        may_have_run : bool
            Whether one of them may have run.
        may_repeat, before_write : callable
            See `TargetRequest`.

        Raises
        ------
        PathsCut
            No host took the request.
        AnswerLost
            A host was sent the request, and no complete answer arrived.
        """
        fields = ForwardedFields(self._hosts.me().host_id, attempts, may_have_run)
        target_req = TargetRequest(
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=body,
            deadline=req.deadline,
            request_id=req.request_id,
            protected=req.protected,
            forwarded=fields,
            before_write=before_write,
            may_repeat=may_repeat,
        )
        offered = 0
        while offered < self._cfg.max_hosts:
            entry = self._choose(target_id)
            if entry is None:
                break
            host_id = entry.address.host_id
            try:
                answer = self._requests.send(_as_target(entry, self._cfg), target_req)
            except TargetRefusedConnection as exc:
                # Hosts of earlier builds have no port for forwarded requests.
                self._avoid(host_id, None, req.request_id, exc)
            except TargetFenced as exc:
                offered += 1
                self._avoid(host_id, target_id, req.request_id, exc)
            except TargetUnreachable as exc:
                offered += 1
                self._avoid(host_id, None, req.request_id, exc)
            except AnswerLost as exc:
                self._avoid(host_id, None, req.request_id, exc)
                raise
            else:
                self.forwarded_count += 1
                return host_id, answer
            if not is_replayable(body):
                break
        raise PathsCut(
            "no host that reaches the targets took the request",
            retry_after_s=NO_HOST_RETRY_S,
        )

    def _avoid(self, host_id, target_id, request_id, exc):
        """Use a host no more for a while, for one target or for all if that is None."""
        now = self._clock.now()
        self._avoid_until = {k: at for k, at in self._avoid_until.items() if at > now}
        self._avoid_until[host_id, target_id] = Instant(now + self._cfg.avoid_s)
        log.info(
            "forwarding: host avoided",
            extra={
                "host": host_id,
                "target": target_id,
                "request_id": request_id,
                "reason": f"{type(exc).__name__}: {exc}",
                "hosts_left": len(self._usable(target_id)),
            },
        )

    def _usable(self, target_id):
        now = self._clock.now()

        def is_avoided(host_id):
            keys = (host_id, None), (host_id, target_id)
            return any(self._avoid_until.get(key, now) > now for key in keys)

        return [
            entry
            for entry in self._hosts.reaching_targets()
            if not is_avoided(entry.address.host_id)
        ]

    def _choose(self, target_id) -> HostEntry | None:
        """Return a random host; those with more processor time are likelier."""
        usable = self._usable(target_id)
        if not usable:
            return None
        near = self._hosts.my_entry.data_centre
        weights = [
            entry.cores * (self._cfg.near_weight if entry.data_centre == near else 1.0)
            for entry in usable
        ]
        return self._rng.choices(usable, weights)[0]


def _as_target(entry: HostEntry, cfg: ForwardingSettings) -> TargetConfig:
    """Return a host's port for forwarded requests in the form of a target."""
    return TargetConfig(
        target_id=TargetId(entry.address.host_id),
        ip=entry.address.ip,
        port=entry.address.port + FORWARD_PORT_OFFSET,
        data_centre=entry.data_centre,
        slots=1,
        connections=cfg.connections,
    )
