"""Messages between a host that holds permits and the host that lends them.

A permit allows one request at a time at an endpoint.  Messages carry the totals of
permits since the account was opened, so the next report or grant repairs the effect
of one that is lost, duplicated or reordered.
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
    """Totals for one endpoint.

    Attributes
    ----------
    lent : int
        Permits that the holder has received since the account was opened, and those
        that it still held from its previous lender then.
    returned : int
        Permits that the holder has returned since the account was opened.
    answered, troubled : int
        Requests of the holder that the endpoint answered, and that it shed or failed;
        not reset when another account is opened.
    """

    endpoint: Endpoint
    lent: int
    returned: int
    answered: int
    troubled: int


@message
@dataclass(frozen=True, slots=True)
class SlotReport:
    """A holder's complete state in one group; renews the lease on its permits.

    Attributes
    ----------
    account : int
        Number of the account; incremented by the holder when it changes its lender
        and when its permits have expired.
    serial : int
        Incremented with each report, so that reordered ones are recognized.
    narrow : tuple of Endpoint
        Endpoints needed by waiting requests that do not accept all open endpoints.
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
    """Permits of one endpoint lent in total since the account was opened."""

    endpoint: Endpoint
    lent: int


@message
@dataclass(frozen=True, slots=True)
class SlotGrant:
    """The permits of a holder; answers a report, or is sent when they change.

    Attributes
    ----------
    serial : int
        Increases with each grant of the lender.
    keep : int
        Permits that the holder may reuse; it returns the others when they are idle.
    short : bool
        Whether other holders wait, so that idle permits are returned at once.
    give_back : tuple of Endpoint
        Endpoints whose permits are returned as soon as they are idle.
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
    """The answer to a grant that the lender sent without a report."""

    group: GroupId
