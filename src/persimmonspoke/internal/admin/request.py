"""Requests and responses of the administration API, and access control."""

import re
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs

from persimmonspoke.errors import (
    AdminBodyTooLarge,
    Forbidden,
    GenerationRequired,
    MalformedAdminRequest,
    Unauthenticated,
)
from persimmonspoke.ids import Generation, Instant
from persimmonspoke.internal.admin.settings import AdminSettings

MAX_LENGTH_DIGITS = 15
MAX_PARAMETERS = 20
_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,46}[a-z0-9])?")
_GENERATION = re.compile(r'"?([0-9]{1,15})"?')
_IDEMPOTENCY_KEY = re.compile(r"[A-Za-z0-9-]{8,64}")


class Access(Enum):
    """Access rights that an endpoint requires."""

    ANYBODY = "anybody"
    ANY_TOKEN = "any token"
    OWN_TEAM = "operators, and the team that the path names"
    OPERATOR = "operators"


@dataclass(frozen=True, slots=True)
class Principal:
    """The sender of a request; `team` is None for an operator."""

    team: str | None = None

    def may_see(self, team: str) -> bool:
        """Return whether this principal may see data of `team`."""
        return self.team is None or self.team == team


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A response; the body is text if the headers have a Content-Type, else JSON."""

    body: Any
    status: str = "200 OK"
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """One authorized request to a matched endpoint.

    Attributes
    ----------
    names : dict of str to str
        Path parameters, such as the team; each is a well-formed name.
    """

    principal: Principal
    names: dict[str, str]
    deadline: Instant
    environ: dict[str, Any] = field(repr=False)
    cfg: AdminSettings = field(repr=False)

    def text(self) -> str:
        """Return the body, or raise `AdminBodyTooLarge` or `MalformedAdminRequest`."""
        length = self.environ.get("CONTENT_LENGTH") or "0"
        if not length.isascii() or not length.isdigit():
            raise MalformedAdminRequest("Content-Length is not a number")
        limit = self.cfg.max_body_bytes
        if len(length) > MAX_LENGTH_DIGITS or int(length) > limit:
            raise AdminBodyTooLarge(f"the body may have at most {limit} bytes")
        try:
            # A chunked body does not announce its length; reading one byte beyond the
            # limit shows whether it is too large.
            data = self.environ["wsgi.input"].read(limit + 1)
            text = data.decode()
        except (OSError, ValueError) as exc:
            raise MalformedAdminRequest(f"the body can't be read: {exc}") from exc
        if len(data) > limit:
            raise AdminBodyTooLarge(f"the body may have at most {limit} bytes")
        if not text.strip():
            raise MalformedAdminRequest("the body is empty")
        return text

    def flag(self, name: str) -> bool:
        """Return whether the query has ``name=1``."""
        try:
            params = parse_qs(
                self.environ.get("QUERY_STRING", ""), max_num_fields=MAX_PARAMETERS
            )
        except ValueError as exc:
            raise MalformedAdminRequest(f"the query can't be read: {exc}") from exc
        return params.get(name) == ["1"]

    def expected_generation(self) -> Generation:
        """Return the generation in If-Match, or raise `GenerationRequired`."""
        header = self.environ.get("HTTP_IF_MATCH")
        if header is None:
            raise GenerationRequired(
                "send the generation that you revised as If-Match, 0 for a new team"
            )
        match = _GENERATION.fullmatch(header)
        if match is None:
            raise MalformedAdminRequest("If-Match must be the number of a generation")
        return Generation(int(match[1]))

    def idempotency_key(self) -> str | None:
        """Return the Idempotency-Key of this attempt, if any."""
        header = self.environ.get("HTTP_IDEMPOTENCY_KEY")
        if header is not None and not _IDEMPOTENCY_KEY.fullmatch(header):
            raise MalformedAdminRequest(
                "Idempotency-Key must be 8 to 64 letters, digits or hyphens"
            )
        return header


def check_names(names: dict[str, str]) -> None:
    """Raise `MalformedAdminRequest` unless all path parameters are well formed."""
    for part, name in names.items():
        if not _NAME.fullmatch(name):
            raise MalformedAdminRequest(
                f"the {part} in the path is not a well-formed name"
            )


def identify(cfg: AdminSettings, environ: dict[str, Any]) -> Principal:
    """Return the sender of the request, or raise `Unauthenticated`."""
    if not cfg.token_needed:
        return Principal()
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise Unauthenticated("send a token in the header Authorization: Bearer")
    # Both are always looked up, so that the time does not reveal a valid token.
    operator, team = cfg.is_operator(token), cfg.team_of(token)
    if operator:
        return Principal()
    if team is None:
        raise Unauthenticated("the token is not valid")
    return Principal(team)


def authorize(principal: Principal, access: Access, names: dict[str, str]) -> None:
    """Raise `Forbidden` unless `principal` has this access to the path."""
    if principal.team is None or access is Access.ANY_TOKEN:
        return
    if access is Access.OWN_TEAM and names.get("team") == principal.team:
        return
    raise Forbidden(
        f"the token of team {principal.team} does not give access to this path"
    )
