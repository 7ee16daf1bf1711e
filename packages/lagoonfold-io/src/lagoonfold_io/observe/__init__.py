"""Logs and metrics of a process."""

from lagoonfold_io.observe._line_writer import LineWriter
from lagoonfold_io.observe._logs import EventLog, configure_logging, log_to_standard_output
from lagoonfold_io.observe._metrics import Metrics

__all__ = ["EventLog", "LineWriter", "Metrics", "configure_logging", "log_to_standard_output"]
