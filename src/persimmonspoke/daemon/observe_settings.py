"""Settings of logs and metrics, which all daemons share."""

from typing import Annotated, Literal

from pydantic import Field

from persimmonspoke.internal.checked_yaml import CheckedModel
from persimmonspoke.internal.questionnaire.fields import Address

Port = Annotated[int, Field(strict=True, ge=0, le=65535)]


class Observe(CheckedModel):
    """Settings of logs and metrics.

    Attributes
    ----------
    log_level : str
        Lowest level that is logged.
    statsd_ip, statsd_port
        Where statsd listens; without an address no metrics are sent.
    """

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    statsd_ip: Address | None = None
    statsd_port: Port = 8125
