"""Identifiers and instants, each of a distinct type for static type checkers."""

from typing import NewType

TeamId = NewType("TeamId", str)
ServiceId = NewType("ServiceId", str)
TargetId = NewType("TargetId", str)
DataCentreId = NewType("DataCentreId", str)
RequestId = NewType("RequestId", str)
KeyText = NewType("KeyText", str)

HostId = NewType("HostId", str)
"""Identifier of one run of a daemon: host name, a dot, and a random part."""

WriteId = NewType("WriteId", str)
"""Random identifier of one write, stored in the object that was written."""

Fingerprint = NewType("Fingerprint", str)
"""Hash of what the repetitions of one caller's request have in common."""

ShardId = NewType("ShardId", int)
PageId = NewType("PageId", int)
Epoch = NewType("Epoch", int)
Generation = NewType("Generation", int)
Version = NewType("Version", int)

Era = NewType("Era", int)
"""Number of the restorations of the store from an older copy, or higher."""

Instant = NewType("Instant", float)
"""Seconds on the monotonic clock of the process that holds the value."""

TargetInstant = NewType("TargetInstant", float)
"""Seconds on the monotonic clock of a target, as that target reported it."""
