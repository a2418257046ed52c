"""Settings of the side that callers see."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]
Bytes = Annotated[int, Field(ge=1024)]


class CallerSettings(BaseModel):
    """How this host deals with callers and their connections.

    Attributes
    ----------
    max_connections : int
        Callers' connections open at a time; more wait in the listening queue.
    head_s : float
        Longest time that the head of one request may take to arrive.
    idle_s : float
        How long a connection without a request is kept.
    stalled_s : float
        Longest time that a caller may take no byte of its answer.
    max_line_bytes : int
        Longest request line.
    buffered_bytes : int
        Bodies up to this size are held whole, so that they can be sent again.
    gone_check_s : float
        How often this host looks for callers that have left.
    retry_pause_s : float
        First pause before an attempt at the same target; it doubles each time.
    longest_retry_pause_s : float
        Longest such pause.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    max_connections: Annotated[int, Field(ge=1)] = 4096
    head_s: Seconds = 10.0
    idle_s: Seconds = 60.0
    stalled_s: Seconds = 20.0
    max_line_bytes: Bytes = 8192
    buffered_bytes: Bytes = 65536
    gone_check_s: Seconds = 0.05
    retry_pause_s: Seconds = 0.01
    longest_retry_pause_s: Seconds = 0.05
