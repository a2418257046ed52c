"""Settings of the administration API."""

import hmac
import ipaddress
from collections.abc import Iterator
from typing import Annotated, Any

from pydantic import Field, SecretStr

from persimmonspoke.internal.checked_yaml import CheckedModel, CrossFault
from persimmonspoke.internal.questionnaire.fields import Address, Name

MIN_TOKEN_CHARACTERS = 16
Token = Annotated[SecretStr, Field(min_length=MIN_TOKEN_CHARACTERS)]


class AdminSettings(CheckedModel):
    """Where the administration API listens, and who may use it.

    Attributes
    ----------
    port : int
        0 lets the kernel choose one.
    operator_token : SecretStr or None
        Opens every path.  May be left out on a loopback address only.
    team_tokens : dict of str to SecretStr
        Each opens the paths of its own team.
    max_body_bytes : int
        Largest body of a request.
    call_s : float
        Time allowed to one request, in seconds.
    """

    ip: Address = "127.0.0.1"
    port: Annotated[int, Field(strict=True, ge=0, le=65535)] = 0
    operator_token: Token | None = None
    team_tokens: dict[Name, Token] = {}
    max_body_bytes: Annotated[int, Field(strict=True, ge=1)] = 512 * 1024
    call_s: Annotated[float, Field(gt=0, le=60)] = 5.0

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield a fault if anybody on the network could administer the host."""
        if raw.get("operator_token") is None and not _on_loopback(raw.get("ip")):
            remedy = "set a token, or bind the administration API to 127.0.0.1"
            yield CrossFault(("operator_token",), None, remedy)

    @property
    def token_needed(self) -> bool:
        """Return whether requests must carry a token."""
        return self.operator_token is not None or not _on_loopback(self.ip)

    def is_operator(self, token: str) -> bool:
        """Return whether `token` is the operators'; takes the same time either way."""
        return self.operator_token is not None and _same(self.operator_token, token)

    def team_of(self, token: str) -> str | None:
        """Return the team whose token `token` is, if any."""
        found = [team for team, own in self.team_tokens.items() if _same(own, token)]
        return found[0] if found else None


def _same(secret, token):
    """Compare in a time that says nothing about `secret`."""
    return hmac.compare_digest(secret.get_secret_value().encode(), token.encode())


def _on_loopback(ip):
    """Return whether `ip` is reached from this machine alone; None is the default."""
    if ip is None:
        return True
    try:
        return ipaddress.ip_address(ip).is_loopback
    except ValueError:
        return True  # The field itself is reported as no address.
