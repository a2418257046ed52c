"""All exceptions of the project, as one class hierarchy."""


class PersimmonspokeError(Exception):
    """Base class of all exceptions that the project raises."""


class InvalidSettings(PersimmonspokeError):
    """Settings or a questionnaire are invalid; the message lists every fault.

    Parameters
    ----------
    message : str
        Every fault, one per line.
    faults : tuple of Fault
        The same faults, each with its path, value and remedy.
    """

    def __init__(self, message, faults=()):
        super().__init__(message)
        self.faults = tuple(faults)


class MalformedDocument(PersimmonspokeError):
    """An object of the store does not have the structure of its kind."""


class UnsafeChange(InvalidSettings):
    """A revised questionnaire changes a field that is fixed while keys are owned."""


class ConfigurationEdited(PersimmonspokeError):
    """A configuration does not match its own hash, so it is not as generated."""


class ApplyConflict(PersimmonspokeError):
    """The accepted generation is not the one that the operator's revision is based on.

    Parameters
    ----------
    message : str
        Which generation was expected and which was found.
    generation : Generation
        The accepted generation.
    changes : tuple of Change
        Differences between the accepted questionnaire and the operator's.
    """

    def __init__(self, message, generation, changes=()):
        super().__init__(message)
        self.generation = generation
        self.changes = tuple(changes)


class UnknownName(PersimmonspokeError):
    """A request to the administration API names something that does not exist."""


class UnknownTeam(UnknownName):
    """No team with that name has an accepted questionnaire."""


class UnknownService(UnknownName):
    """The team has no service with that name."""


class UnknownTarget(UnknownName):
    """The service has no target with that name."""


class AdminFailure(PersimmonspokeError):
    """The administration API refused a request; nothing was changed."""


class UnknownAdminPath(AdminFailure):
    """The administration API has no endpoint at that path."""


class MethodNotAllowed(AdminFailure):
    """The path exists, but does not support that method."""


class MalformedAdminRequest(AdminFailure):
    """A header, a query parameter or the body is malformed."""


class GenerationRequired(AdminFailure):
    """A change was requested without the generation that it revises."""


class AdminBodyTooLarge(AdminFailure):
    """The body exceeds the limit in the settings."""


class Unauthenticated(AdminFailure):
    """The request has no token, or an invalid one."""


class Forbidden(AdminFailure):
    """The token is valid, but does not give access to this path."""


class CommandFailure(PersimmonspokeError):
    """A command of the command-line tool failed."""


class AdminUnreachable(CommandFailure):
    """No administration API answered."""


class AdminNotReached(AdminUnreachable):
    """No connection could be opened, so nothing was sent."""


class AdminRefused(CommandFailure):
    """The administration API answered with an error.

    Parameters
    ----------
    status : int
        Status code of the HTTP response.
    failure : FailureBody
        The error in its body.
    """

    def __init__(self, status, failure):
        super().__init__(failure.message)
        self.status = status
        self.failure = failure


class UnreadableFile(CommandFailure):
    """A file named on the command line can't be read or written."""


class NotInForce(CommandFailure):
    """Some hosts did not put the generation into force before the deadline.

    Parameters
    ----------
    message : str
        Names the generation and the team.
    hosts : tuple of str
        The hosts that did not, each with the reason.
    """

    def __init__(self, message, hosts):
        super().__init__("\n  ".join((message, *hosts)))
        self.hosts = tuple(hosts)


class NotInLogs(PersimmonspokeError):
    """None of the log lines that were read has the request's id."""


class StoreError(PersimmonspokeError):
    """A call to the platform's object API failed."""


class StoreUnavailable(StoreError):
    """The store sent no usable response; a write that raises this did not happen."""


class StoreOutcomeUnknown(StoreError):
    """A write was sent and its response was lost.

    It may have taken effect, or may still take effect later.
    """


class StoreConflict(StoreError):
    """A conditional write was refused because the object's version differs."""


class StoreMissing(StoreError):
    """The object does not exist."""


class StoreCompacted(StoreError):
    """A watch asked for a revision that the store has compacted; list again."""


class PeerError(PersimmonspokeError):
    """A call to another entry host failed."""


class PeerTimeout(PeerError):
    """The peer did not reply before the deadline; it may have run the call."""


class PeerRefused(PeerError):
    """The peer replied that it refuses the call."""


class MalformedMessage(PeerError):
    """Bytes from a peer can't be decoded as a known message."""


class AuthorityLapsed(PersimmonspokeError):
    """This host's lease has lapsed, so it may not send orders or route requests."""


class TargetError(PersimmonspokeError):
    """An order or a request to a target failed."""


class TargetRefusedConnection(TargetError):
    """The connection was refused: nothing listens there, so the target is dead."""


class TargetUnreachable(TargetError):
    """No connection was opened before the deadline; nothing was written."""


class TargetFull(TargetUnreachable):
    """The target resets new connections, as some do when full; nothing was written.

    Parameters
    ----------
    message : str
        What was seen.
    retry_after_s : float or None
        Seconds for which this host opens no new connection to the target.
    """

    def __init__(self, message="", retry_after_s=None):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class TargetFenced(TargetError):
    """The target refused an order or a request with an outdated epoch."""


class TargetMismatch(TargetError):
    """Another target listens at the address; it has not executed the order."""


class TargetShed(TargetError):
    """The target reported that it shed the request; the request did not run."""


class TargetDraining(TargetError):
    """The target reported that it is draining; the request did not run."""


class RouteLapsed(TargetError):
    """The right to send the request ended before the first byte; nothing was written.

    The route's lease has ended, or equal requests are refused from now on.
    """


class AnswerLost(TargetError):
    """A request was written and no complete response arrived; it may have run."""


class ConnectionLost(AnswerLost):
    """The connection ended before a complete answer; the target may have ended, too."""


class ConnectionReset(ConnectionLost):
    """The target reset the connection after the request, without an answer."""


class OrderOutcomeUnknown(TargetError):
    """An order was sent and its response was lost; it may have taken effect."""


class OrderConnectionLost(TargetError):
    """The connection for orders broke; the next may reach another incarnation."""


class RequestFailure(PersimmonspokeError):
    """A caller's request got no answer from a target."""


class NotRun(RequestFailure):
    """The request did not run and never will; it is safe to retry.

    Parameters
    ----------
    message : str
        Why it did not run.
    retry_after_s : float or None
        Seconds after which a retry is more likely to succeed, if known.
    """

    def __init__(self, message="", retry_after_s=None):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class NoOwnerYet(NotRun):
    """The key has no owner that this host may route to.

    Parameters
    ----------
    message : str
        Why there is no owner to route to.
    opens_at : Instant or None
        Latest instant at which the key will have an owner, if known.
    retry_after_s : float or None
        How long to wait before another attempt, if known.
    """

    def __init__(self, message="", opens_at=None, retry_after_s=None):
        super().__init__(message, retry_after_s)
        self.opens_at = opens_at


class OwnerChanged(NoOwnerYet):
    """The key got another owner while the request waited; retry there at once."""


class Overloaded(NotRun):
    """The request was shed before it was sent to any target."""


class DeadlinePassed(NotRun):
    """The caller's deadline passed before the request was written to a target."""


class Quarantined(NotRun):
    """Targets have ended under equal requests, so no target gets this one."""


class GroupsChanged(NotRun):
    """The group of targets that the request was queued for no longer exists."""


class HostClosed(NotRun):
    """This host accepts no requests: it has no lease, is draining or is stopping."""


class PathsCut(NotRun):
    """No host that was asked reaches a target that could serve the request."""


class RouteUnreadable(NotRun):
    """The configuration's entry for this path, or for its service, can't be read."""


class RouteUnconfirmed(NotRun):
    """No known route matches the path, but a newer configuration may have one.

    Attributes
    ----------
    table : TableState or None
        The routing table that decided.
    """

    table = None


class MalformedRequest(NotRun):
    """The request violates HTTP or the service's configuration."""


class UnknownPath(MalformedRequest):
    """No service of any team matches this path.

    Attributes
    ----------
    table : TableState or None
        The routing table that decided, for a routed service.
    """

    table = None


class BodyTooLarge(MalformedRequest):
    """The body exceeds the service's limit."""


class BodyTooSlow(MalformedRequest):
    """The body did not arrive before the deadline."""


class LineTooLong(MalformedRequest):
    """The request line exceeds this host's limit."""


class HeadTooLarge(MalformedRequest):
    """The header fields exceed this host's limit."""


class LengthRequired(MalformedRequest):
    """The request has a body whose length can't be determined."""


class HostFault(RequestFailure):
    """A bug in this program ended the request; it is unknown whether it ran."""


class CallerGone(RequestFailure):
    """The caller closed its connection before it got the answer."""


class OutcomeUnknown(RequestFailure):
    """The request was written to a target; it is unknown whether it ran."""
