"""What this host knows of the store's objects, and how old that knowledge is.

Only a listing of the objects of a kind proves that this host has the newest of them,
or what another host derives from one.  That other calls are answered, that nothing
arrives, or that a watch ends without a change, proves nothing.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from persimmonspoke.ids import Era, Instant

UNKNOWN_REVISION = 0  # stores count from 1


@dataclass(frozen=True, slots=True)
class Proof:
    """The state of the store up to which a host knows all objects of one kind.

    Attributes
    ----------
    revision : int
        Revision of the store up to which every change is known.
    at : Instant
        Latest instant at which the store is proven to have had no later change.
    """

    era: Era
    revision: int
    at: Instant


class Knowledge:
    """The proofs of each kind of objects, which are named by their keys' prefixes.

    Attributes
    ----------
    on_proof : callable
        Called after each record.
    """

    def __init__(self):
        self.on_proof: Callable[[], None] = lambda: None
        self._proofs: dict[str, Proof] = {}

    def record(self, kind: str, proof: Proof) -> None:
        """Record a proof; what an earlier era of the store had proves nothing."""
        known = self._proofs.get(kind)
        if known is None or proof.era > known.era:
            self._proofs[kind] = proof
        elif proof.era == known.era:
            self._proofs[kind] = Proof(
                proof.era,
                max(proof.revision, known.revision),
                max(proof.at, known.at),
            )
        self.on_proof()

    def proof(self, kind: str) -> Proof | None:
        """Return the newest proof of a kind, if there is any."""
        return self._proofs.get(kind)

    def proven_at(self, kinds: Iterable[str]) -> Instant | None:
        """Return when all objects of several kinds were last proven to be the newest.

        Return None if the objects of one of them never were.
        """
        proofs = [self._proofs.get(kind) for kind in kinds]
        if None in proofs:
            return None
        return min(proof.at for proof in proofs)
