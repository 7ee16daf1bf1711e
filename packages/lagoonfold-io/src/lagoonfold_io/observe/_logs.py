"""Logs as JSON lines with stable event names.

configure_logging("info")
events = EventLog("config")
events.info("config.applied", version=12)
# {"at": 1700000000.123, "level": "info", "event": "config.applied", "version": 12}
"""

import logging
import sys
import time
from typing import TextIO

import msgspec

from lagoonfold import redact
from lagoonfold_io.observe._line_writer import LineWriter

_ROOT = "lagoonfold"


class JsonLineFormatter(logging.Formatter):
    """Formats a record as one line of JSON, with callers' keys redacted."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record, without a line break."""
        line: dict[str, object] = {
            "at": round(record.created, 3),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return redact(msgspec.json.encode(line, enc_hook=str).decode())


class EventLog:
    """Logs the events of one subsystem; keyword arguments become fields of the line."""

    def __init__(self, subsystem: str) -> None:
        self._logger = logging.getLogger(f"{_ROOT}.{subsystem}")

    def debug(self, event: str, **fields: object) -> None:
        """Log an event of interest to developers."""
        self._logger.debug(event, extra={"fields": fields})

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        self._logger.info(event, extra={"fields": fields})

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that an operator may have to examine."""
        self._logger.warning(event, extra={"fields": fields})

    def error(self, event: str, error: BaseException | None = None, **fields: object) -> None:
        """Log a failure, with the traceback of `error` if one is given."""
        self._logger.error(event, exc_info=error, extra={"fields": fields})


def configure_logging(level: str, stream: TextIO = sys.stderr) -> None:
    """Send the logs of this process to a stream, from this level upwards."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(JsonLineFormatter())
    logger = logging.getLogger(_ROOT)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


class BoundedHandler(logging.Handler):
    """Writes records as JSON lines through a `LineWriter`, each with the instance's id."""

    def __init__(self, writer: LineWriter, instance: str) -> None:
        super().__init__()
        self._writer = writer
        self._instance = instance

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop and count it."""
        event = record.getMessage()
        if not self._writer.reserve_line(event, now_s=time.monotonic()):
            return
        line: dict[str, object] = {
            "at": round(record.created, 3),
            "instance": self._instance,
            "level": record.levelname.lower(),
            "event": event,
        }
        line.update(getattr(record, "fields", {}))
        if left_out := self._writer.pop_dropped_count(event):
            line["left_out"] = left_out
        if record.exc_info:
            line["error"] = logging.Formatter().formatException(record.exc_info)
        self._writer.write(event, msgspec.json.encode(line, enc_hook=str))


def log_to_standard_output(level: str, instance: str) -> None:
    """Send the logs of this process to standard output, rate-limited and without blocking."""
    logger = logging.getLogger(_ROOT)
    logger.handlers[:] = [BoundedHandler(LineWriter(sys.stdout.fileno()), instance)]
    logger.setLevel(level.upper())
    logger.propagate = False
