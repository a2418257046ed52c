"""Logs as JSON lines on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "module"}


def start_logs(level: str, host_id: str) -> None:
    """Send all log records of this process to standard error, one JSON line each."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            LOG_FORMAT, rename_fields=RENAMED_FIELDS, static_fields={"run": host_id}
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
