"""Interfaces that the request path expects the rest of the host to provide."""

from contextlib import AbstractContextManager
from typing import Protocol

from persimmonspoke.ids import Instant
from persimmonspoke.internal.questionnaire.configuration import TeamConfig


class Gate(Protocol):
    """Decides whether this host accepts requests, and counts those in flight.

    Attributes
    ----------
    leaving : bool
        Whether the host is about to stop, so that each answer should close its
        connection.
    """

    leaving: bool

    def open(self) -> bool:
        """Return whether the host holds its lease and is not shutting down."""

    def may_last_until(self, deadline: Instant) -> bool:
        """Return whether a request that comes now may last until `deadline`."""

    def admitted(self) -> AbstractContextManager[None]:
        """Return a context during which one request counts as in flight."""


class Configurations(Protocol):
    """The configurations in force on this host."""

    def change_count(self) -> int:
        """Return a number that increases with every change."""

    def teams(self) -> tuple[TeamConfig, ...]:
        """Return the configuration of every team."""
