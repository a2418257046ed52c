"""Messages between a host that holds permits and the host that lends them.

Both sides count permits from the opening of an account: a report or a grant that
is lost, repeated or overtaken changes nothing that the next one does not repair.
"""

from dataclasses import dataclass

from persimmonspoke.ids import HostId, TeamId
from persimmonspoke.internal.peers.codec import message
from persimmonspoke.internal.questionnaire.configuration import Precedence
from persimmonspoke.internal.scheduling.groups import Endpoint, GroupId


@dataclass(frozen=True, slots=True)
class Want:
    """How many requests of one team and precedence run or wait at a host."""

    team: TeamId
    precedence: Precedence
    count: int


@dataclass(frozen=True, slots=True)
class Balance:
    """Permits of one endpoint, counted since the account was opened.

    Attributes
    ----------
    lent : int
        Permits that the holder has received.
    returned : int
        Permits that the holder has given back.
    answered, troubled : int
        Requests that the endpoint answered, and that it shed or failed.
    """

    endpoint: Endpoint
    lent: int
    returned: int
    answered: int
    troubled: int


@message
@dataclass(frozen=True, slots=True)
class SlotReport:
    """A holder's whole state in one group; renews the lease on its permits.

    Attributes
    ----------
    account : int
        Raised by the holder when it changes its lender or its permits lapsed.
    serial : int
        Raised by each report, so that an overtaken one is known.
    narrow : tuple of Endpoint
        Endpoints that waiting requests ask for because they accept no others.
    """

    group: GroupId
    holder: HostId
    account: int
    serial: int
    wants: tuple[Want, ...]
    balances: tuple[Balance, ...]
    narrow: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Loan:
    """All permits of one endpoint that were ever lent on an account."""

    endpoint: Endpoint
    lent: int


@message
@dataclass(frozen=True, slots=True)
class SlotGrant:
    """What a holder may use; the answer to a report, or sent when it grows.

    Attributes
    ----------
    serial : int
        Raised by each grant of the lender to this holder.
    keep : int
        Permits that the holder may reuse; the rest go back when they are free.
    short : bool
        Whether others wait, so that idle permits go back at once.
    give_back : tuple of Endpoint
        Endpoints whose permits go back as soon as they are free.
    """

    group: GroupId
    lender: HostId
    account: int
    serial: int
    loans: tuple[Loan, ...]
    keep: int
    short: bool
    give_back: tuple[Endpoint, ...]


@message
@dataclass(frozen=True, slots=True)
class GrantSeen:
    """The answer to a grant that the lender sent by itself."""

    group: GroupId
