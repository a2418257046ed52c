"""Conditional writes that are retried until their outcome is known.

An answer can be lost although the write took effect or may still do so.  Each object
carries the id of the write that produced it, so reading the object back shows whether
the write took effect.  Repeating a conditional write is safe, because at most one of
its copies can match the version.
"""

import uuid

from persimmonspoke.errors import (
    StoreConflict,
    StoreMissing,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from persimmonspoke.ids import Instant, Version, WriteId
from persimmonspoke.internal.clock import Clock
from persimmonspoke.internal.store.api import Store, StoredObject, Value

WRITE_ID = "write_id"
RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.4  # the store counts rejected calls, too


def new_write_id() -> WriteId:
    """Return a new random write id."""
    return WriteId(uuid.uuid4().hex)


def write(
    store: Store,
    clock: Clock,
    key: str,
    value: Value,
    version: Version,
    deadline: Instant,
) -> StoredObject:
    """Write `value` under `key` if the object's version is `version` (0: create it).

    Parameters
    ----------
    value : dict
        The object; must contain a new write id under ``write_id``.

    Returns
    -------
    StoredObject
        The object as written; the write is certain to have taken effect.

    Raises
    ------
    StoreConflict
        Another write took effect first; this one did not happen and never will.
    StoreOutcomeUnknown
        `deadline` passed while at least one copy of the write had an unknown outcome.
    StoreUnavailable
        `deadline` passed and the write certainly did not happen.
    """
    unresolved = False
    pause_s = RETRY_PAUSE_S
    while True:
        try:
            if version == 0:
                return store.create(key, value, deadline)
            return store.update(key, value, version, deadline)
        except StoreConflict:
            return _read_back_own_write(store, key, value, deadline)
        except StoreOutcomeUnknown:
            unresolved = True
        except StoreUnavailable:
            pass
        retry_at = Instant(clock.now() + pause_s)
        if retry_at >= deadline:
            break
        pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)
        clock.sleep_until(retry_at)
    if unresolved:
        raise StoreOutcomeUnknown(f"the outcome of the write of {key} is unknown")
    raise StoreUnavailable(f"{key} could not be written before the deadline")


def _read_back_own_write(store, key, value, deadline):
    """Return the object if this write produced it, else raise `StoreConflict`."""
    try:
        found = store.get(key, deadline)
    except StoreMissing:
        raise StoreConflict(f"{key} was deleted by another writer") from None
    except StoreUnavailable as exc:
        raise StoreOutcomeUnknown(f"{key} could not be read back") from exc
    if found.value.get(WRITE_ID) != value[WRITE_ID]:
        raise StoreConflict(f"{key} was written by another writer")
    return found
