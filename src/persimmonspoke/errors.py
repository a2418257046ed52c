"""Every failure of the project, in one tree."""


class PersimmonspokeError(Exception):
    """Base of all failures that the project raises itself."""


class InvalidSettings(PersimmonspokeError):
    """Settings or a questionnaire break a rule; the message lists every fault."""


class StoreError(PersimmonspokeError):
    """A call to the platform's object API did not succeed."""


class StoreUnavailable(StoreError):
    """The store gave no usable answer; a write that raises this did not happen."""


class StoreOutcomeUnknown(StoreError):
    """A write was sent and its answer was lost; it may have happened, or may yet."""


class StoreConflict(StoreError):
    """A conditional write was refused because the object's version differs."""


class StoreMissing(StoreError):
    """The object does not exist."""


class StoreCompacted(StoreError):
    """A watch asked for a revision that the store has dropped; list again."""


class PeerError(PersimmonspokeError):
    """A call to another entry host failed."""


class PeerTimeout(PeerError):
    """The peer gave no answer before the deadline; the call may have run there."""


class PeerRefused(PeerError):
    """The peer answered that it will not do what was asked."""


class MalformedMessage(PeerError):
    """Bytes from a peer are no known message."""


class AuthorityLapsed(PersimmonspokeError):
    """This host's lease has lapsed, so it may not order or route."""


class TargetError(PersimmonspokeError):
    """An order or a request to a target failed."""


class TargetRefusedConnection(TargetError):
    """The target's host answered that nothing listens; that process is dead."""


class TargetUnreachable(TargetError):
    """No connection before the deadline; nothing was written."""


class TargetFenced(TargetError):
    """The target refused an order or a request whose epoch is out of date."""


class OrderOutcomeUnknown(TargetError):
    """An order was sent and its answer was lost."""


class RequestFailure(PersimmonspokeError):
    """A caller's request could not be answered by a target."""


class NotRun(RequestFailure):
    """The request did not run and never will; it is safe to repeat."""


class NoOwnerYet(NotRun):
    """The key has no owner that this host may route to."""


class Overloaded(NotRun):
    """The request was shed before any target saw it."""


class DeadlinePassed(NotRun):
    """The caller's deadline passed before the request was written to a target."""


class GroupsChanged(NotRun):
    """The group of targets that the request waited for no longer exists."""


class MalformedRequest(NotRun):
    """The request breaks a rule of HTTP or of the service's configuration."""


class OutcomeUnknown(RequestFailure):
    """The request was written, and nobody can say whether it ran."""
