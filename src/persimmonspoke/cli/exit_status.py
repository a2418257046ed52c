"""Exit statuses of the command-line tool, by failure."""

from enum import IntEnum
from functools import singledispatch

from persimmonspoke.errors import (
    AdminRefused,
    AdminUnreachable,
    ConfigurationEdited,
    InvalidSettings,
    NotInForce,
    NotInLogs,
    UnreadableFile,
)

CONFLICT_STATUS = 412
INVALID_STATUSES = (400, 404, 405, 413, 422, 428)


class ExitStatus(IntEnum):
    """Exit statuses of the command-line tool."""

    OK = 0
    FAILURE = 1
    INVALID = 2
    """Wrong usage, or input that breaks a rule."""
    CONFLICT = 3
    """Another operator's revision was accepted first."""
    NOT_IN_FORCE = 4
    UNREACHABLE = 5
    """No response; for `apply`, the outcome may be unknown."""
    NOT_IN_LOGS = 6


@singledispatch
def exit_status(exc: Exception) -> ExitStatus:
    """Return the exit status for `exc`."""
    return ExitStatus.FAILURE


@exit_status.register(InvalidSettings)
@exit_status.register(ConfigurationEdited)
@exit_status.register(UnreadableFile)
def _(exc):
    return ExitStatus.INVALID


@exit_status.register
def _(exc: AdminRefused):
    if exc.status == CONFLICT_STATUS:
        return ExitStatus.CONFLICT
    if exc.status in INVALID_STATUSES:
        return ExitStatus.INVALID
    return ExitStatus.FAILURE


@exit_status.register
def _(exc: NotInLogs):
    return ExitStatus.NOT_IN_LOGS


@exit_status.register
def _(exc: NotInForce):
    return ExitStatus.NOT_IN_FORCE


@exit_status.register
def _(exc: AdminUnreachable):
    return ExitStatus.UNREACHABLE
