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
    """Address, access tokens and limits of the administration API.

    Attributes
    ----------
    port : int
        TCP port; 0 lets the kernel choose.
    operator_token : SecretStr or None
        Gives access to every path.  Optional on a loopback address only.
    team_tokens : dict of str to SecretStr
        Tokens by team; each gives access to the paths of its own team.
    max_body_bytes : int
        Maximum size of a request body.
    call_s : float
        Time limit of one request, in seconds.
    """

    ip: Address = "127.0.0.1"
    port: Annotated[int, Field(strict=True, ge=0, le=65535)] = 0
    operator_token: Token | None = None
    team_tokens: dict[Name, Token] = {}
    max_body_bytes: Annotated[int, Field(strict=True, ge=1)] = 512 * 1024
    call_s: Annotated[float, Field(gt=0, le=60)] = 5.0

    @classmethod
    def cross_faults(cls, raw: dict[str, Any]) -> Iterator[CrossFault]:
        """Yield a fault if the API is reachable from the network without a token."""
        if raw.get("operator_token") is None and not _on_loopback(raw.get("ip")):
            remedy = "set a token, or bind the administration API to 127.0.0.1"
            yield CrossFault(("operator_token",), None, remedy)

    @property
    def token_needed(self) -> bool:
        """Return whether requests must carry a token."""
        return self.operator_token is not None or not _on_loopback(self.ip)

    def is_operator(self, token: str) -> bool:
        """Return whether `token` is the operators', in constant time."""
        return self.operator_token is not None and _equal(self.operator_token, token)

    def team_of(self, token: str) -> str | None:
        """Return the team that `token` belongs to, if any."""
        teams = [
            team for team, secret in self.team_tokens.items() if _equal(secret, token)
        ]
        return teams[0] if teams else None


def _equal(configured, token):
    """Return whether the tokens are equal, in a time that does not depend on them."""
    return hmac.compare_digest(configured.get_secret_value().encode(), token.encode())


def _on_loopback(ip):
    """Return whether `ip` is a loopback address; None stands for the default."""
    if ip is None:
        return True
    try:
        return ipaddress.ip_address(ip).is_loopback
    except ValueError:
        return True  # The check of the field itself reports the malformed address.
