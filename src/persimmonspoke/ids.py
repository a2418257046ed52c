"""Identifiers, one distinct type each, so that a checker can tell them apart."""

from typing import NewType

TeamId = NewType("TeamId", str)
ServiceId = NewType("ServiceId", str)
TargetId = NewType("TargetId", str)
DataCentreId = NewType("DataCentreId", str)
RequestId = NewType("RequestId", str)
KeyText = NewType("KeyText", str)

HostId = NewType("HostId", str)
"""One run of one daemon: host name, a dot, and a random part made at start."""

WriteId = NewType("WriteId", str)
"""Random name of one write, kept inside the object that it wrote."""

ShardId = NewType("ShardId", int)
PageId = NewType("PageId", int)
Epoch = NewType("Epoch", int)
Generation = NewType("Generation", int)
Version = NewType("Version", int)

Instant = NewType("Instant", float)
"""Seconds on the monotonic clock of the process that holds the value."""

TargetInstant = NewType("TargetInstant", float)
"""Seconds on the monotonic clock of a target, as that target reported it."""
