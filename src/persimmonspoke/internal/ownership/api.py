"""The interface of ownership to the request path: routes and requests in flight."""

from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Protocol

from persimmonspoke.ids import Epoch, Instant, KeyText, ShardId, TeamId
from persimmonspoke.internal.ownership.page import PageKey
from persimmonspoke.internal.questionnaire.configuration import (
    ServiceConfig,
    TargetConfig,
)


@dataclass(frozen=True, slots=True)
class Route:
    """The target that owns the shard of one key, and the epoch of that ownership."""

    page: PageKey
    shard: ShardId
    epoch: Epoch
    target: TargetConfig


class Routes(Protocol):
    """The routes known to this host, for services that are divided by key."""

    def find(self, team: TeamId, service: ServiceConfig, key: KeyText) -> Route:
        """Return the route of `key`, or raise `NoOwnerYet`."""

    def wait(
        self, team: TeamId, service: ServiceConfig, key: KeyText, deadline: Instant
    ) -> Route:
        """Return the route of `key` as soon as there is one, or raise `NoOwnerYet`."""

    def may_send(self, route: Route) -> bool:
        """Return whether `route` is still valid; called just before the first byte."""

    def report_refusal(self, route: Route) -> None:
        """Record that the target refused the route's shard as not its own.

        The keeper of the page is asked for its routes again soon.
        """

    def in_flight(self, route: Route) -> AbstractContextManager[None]:
        """Count one request as in flight on the route's shard within the context."""
