"""Every failure of the project, in one tree."""


class PersimmonspokeError(Exception):
    """Base of all failures that the project raises itself."""


class InvalidSettings(PersimmonspokeError):
    """Settings or a questionnaire break a rule; the message lists every fault.

    Parameters
    ----------
    message : str
        Every fault, one a line.
    faults : tuple of Fault
        The same faults, each with its path, value and remedy.
    """

    def __init__(self, message, faults=()):
        super().__init__(message)
        self.faults = tuple(faults)


class MalformedDocument(PersimmonspokeError):
    """An object of the store does not hold what its kind should hold."""


class UnsafeChange(InvalidSettings):
    """A revised questionnaire changes what can't change while keys are owned."""


class ConfigurationEdited(PersimmonspokeError):
    """A configuration does not match its own hash: it was not generated."""


class ApplyConflict(PersimmonspokeError):
    """The accepted generation is not the one that an operator revised.

    Parameters
    ----------
    message : str
        Which generation was expected and which was found.
    generation : Generation
        The accepted generation.
    changes : tuple of Change
        What the operator's questionnaire would change in the accepted one.
    """

    def __init__(self, message, generation, changes=()):
        super().__init__(message)
        self.generation = generation
        self.changes = tuple(changes)


class UnknownName(PersimmonspokeError):
    """A request of the administration API names what does not exist."""


class UnknownTeam(UnknownName):
    """No team of that name has an accepted questionnaire."""


class UnknownService(UnknownName):
    """The team has no such service."""


class UnknownTarget(UnknownName):
    """The service has no such target."""


class AdminFailure(PersimmonspokeError):
    """A request of the administration API was refused; nothing was changed."""


class UnknownAdminPath(AdminFailure):
    """The administration API has nothing at that path."""


class MethodNotAllowed(AdminFailure):
    """The path exists, but not for that method."""


class MalformedAdminRequest(AdminFailure):
    """A header, a parameter or the body can't be read."""


class GenerationRequired(AdminFailure):
    """A change came without the generation that it revises."""


class AdminBodyTooLarge(AdminFailure):
    """The body exceeds the limit of the settings."""


class Unauthenticated(AdminFailure):
    """The request carries no token, or a wrong one."""


class Forbidden(AdminFailure):
    """The token is valid, but not for this path."""


class CommandFailure(PersimmonspokeError):
    """The command-line tool could not do what was asked."""


class AdminUnreachable(CommandFailure):
    """No administration API answered."""


class AdminNotReached(AdminUnreachable):
    """There was no connection, so nothing was sent."""


class AdminRefused(CommandFailure):
    """The administration API answered with a failure.

    Parameters
    ----------
    status : int
        Status of the HTTP answer.
    failure : FailureBody
        The typed failure in its body.
    """

    def __init__(self, status, failure):
        super().__init__(failure.message)
        self.status = status
        self.failure = failure


class UnreadableFile(CommandFailure):
    """A file that the command line names can't be read or written."""


class NotInForce(CommandFailure):
    """Some hosts had not put the generation into force in time.

    Parameters
    ----------
    message : str
        Which generation of which team.
    hosts : tuple of str
        The hosts that have not, each with the reason.
    """

    def __init__(self, message, hosts):
        super().__init__("\n  ".join((message, *hosts)))
        self.hosts = tuple(hosts)


class NotInLogs(PersimmonspokeError):
    """No log line that was read names the request."""


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


class TargetShed(TargetError):
    """The target said that it shed the request, which did not run."""


class TargetDraining(TargetError):
    """The target said that it is leaving, and did not run the request."""


class RouteLapsed(TargetError):
    """The route's lease ended before the first byte; nothing was written."""


class AnswerLost(TargetError):
    """A request was written and no whole answer to it came; it may have run."""


class OrderOutcomeUnknown(TargetError):
    """An order was sent and its answer was lost."""


class OrderConnectionLost(TargetError):
    """The connection for orders broke; another life of the target may answer next."""


class RequestFailure(PersimmonspokeError):
    """A caller's request could not be answered by a target."""


class NotRun(RequestFailure):
    """The request did not run and never will; it is safe to repeat.

    Parameters
    ----------
    message : str
        Why not.
    retry_after_s : float or None
        When a repeat has better chances, if known.
    """

    def __init__(self, message="", retry_after_s=None):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class NoOwnerYet(NotRun):
    """The key has no owner that this host may route to.

    Parameters
    ----------
    message : str
        Why not.
    opens_at : Instant or None
        When it will have one at the latest, if known.
    """

    def __init__(self, message="", opens_at=None):
        super().__init__(message)
        self.opens_at = opens_at


class OwnerChanged(NoOwnerYet):
    """The key got another owner while the request waited; it may ask there at once."""


class Overloaded(NotRun):
    """The request was shed before any target saw it."""


class DeadlinePassed(NotRun):
    """The caller's deadline passed before the request was written to a target."""


class GroupsChanged(NotRun):
    """The group of targets that the request waited for no longer exists."""


class HostClosed(NotRun):
    """This host takes no new requests: it has no lease, or it is being stopped."""


class MalformedRequest(NotRun):
    """The request breaks a rule of HTTP or of the service's configuration."""


class UnknownPath(MalformedRequest):
    """No service of any team has this path."""


class BodyTooLarge(MalformedRequest):
    """The body is longer than the service allows."""


class BodyTooSlow(MalformedRequest):
    """The body had not arrived at the deadline."""


class LineTooLong(MalformedRequest):
    """The request line is longer than this host reads."""


class HeadTooLarge(MalformedRequest):
    """The header fields are longer than this host reads."""


class LengthRequired(MalformedRequest):
    """The request has a body of a form whose length nobody can tell."""


class HostFault(RequestFailure):
    """A fault of this program ended the request; nobody can say whether it ran."""


class CallerGone(RequestFailure):
    """The caller closed its connection; nobody waits for the answer."""


class OutcomeUnknown(RequestFailure):
    """The request was written, and nobody can say whether it ran."""
