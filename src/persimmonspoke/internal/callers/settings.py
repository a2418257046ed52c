"""Settings of the server for callers."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Seconds = Annotated[float, Field(gt=0)]
Bytes = Annotated[int, Field(ge=1024)]


class CallerSettings(BaseModel):
    """Limits and intervals for callers and their connections.

    Attributes
    ----------
    max_connections : int
        Maximum number of open connections; more wait in the listen backlog.
    head_s : float
        Maximum time for the head of one request to arrive.
    idle_s : float
        Time after which a connection without a request is closed.
    stalled_s : float
        Maximum time during which a caller reads no byte of its answer.
    max_line_bytes : int
        Maximum length of a request line.
    buffered_bytes : int
        Bodies up to this size are buffered whole, so that they can be sent again.
    read_ahead_bytes : int
        How much of one answer is read ahead of its caller.
    read_ahead_total_bytes : int
        How much of all answers together is read ahead; at least one chunk of each is.
    gone_check_s : float
        Interval between checks for callers that closed their connection.
    retry_pause_s : float
        First pause before another attempt at the same target; it doubles each time.
    longest_retry_pause_s : float
        Maximum pause between attempts.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    max_connections: Annotated[int, Field(ge=1)] = 4096
    head_s: Seconds = 10.0
    idle_s: Seconds = 60.0
    stalled_s: Seconds = 20.0
    max_line_bytes: Bytes = 8192
    buffered_bytes: Bytes = 65536
    read_ahead_bytes: Bytes = 640 * 1024  # the largest downloads have 540 KB
    read_ahead_total_bytes: Bytes = 16 << 20  # a tenth of the smallest hosts' memory
    gone_check_s: Seconds = 0.05
    retry_pause_s: Seconds = 0.01
    longest_retry_pause_s: Seconds = 0.05
