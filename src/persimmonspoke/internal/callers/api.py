"""What the request path needs of the rest of the host."""

from contextlib import AbstractContextManager
from typing import Protocol

from persimmonspoke.internal.questionnaire.configuration import TeamConfig


class Gate(Protocol):
    """Whether this host takes requests, and how many it has in hand.

    Attributes
    ----------
    leaving : bool
        Whether each answer should end its connection, since the host is to stop.
    """

    leaving: bool

    def open(self) -> bool:
        """Return whether the host has its lease and is not being stopped."""

    def admitted(self) -> AbstractContextManager[None]:
        """Count one request in hand for as long as the context lasts."""


class Configurations(Protocol):
    """The configurations in force on this host."""

    def count(self) -> int:
        """Return a number that grows with every change."""

    def teams(self) -> tuple[TeamConfig, ...]:
        """Return the configuration of every team."""
