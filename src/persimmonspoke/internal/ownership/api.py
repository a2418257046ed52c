"""What the request path needs of ownership: routes, and word of work in hand."""

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
    """Where one request on one key may go now."""

    page: PageKey
    shard: ShardId
    epoch: Epoch
    target: TargetConfig


class Routes(Protocol):
    """The routes that this host holds, for services divided by key."""

    def find(self, team: TeamId, service: ServiceConfig, key: KeyText) -> Route:
        """Return the route of `key`, or raise `NoOwnerYet`."""

    def wait(
        self, team: TeamId, service: ServiceConfig, key: KeyText, deadline: Instant
    ) -> Route:
        """Return the route of `key` as soon as there is one, or raise `NoOwnerYet`."""

    def may_send(self, route: Route) -> bool:
        """Return whether `route` still holds; asked just before the first byte."""

    def refused(self, route: Route) -> None:
        """Take note that the target does not own the route's shard; ask the keeper."""

    def in_flight(self, route: Route) -> AbstractContextManager[None]:
        """Count one request on the route's shard for as long as the context lasts."""
