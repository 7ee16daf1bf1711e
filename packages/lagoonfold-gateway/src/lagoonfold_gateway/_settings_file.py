"""The settings file of a process: read at the start, and again on SIGHUP."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Generic, TypeVar

import msgspec
from result import Err, Result

from lagoonfold_io.observe import EventLog, log_to_standard_output

EXIT_SETTINGS = 2

Settings = TypeVar("Settings", bound=msgspec.Struct)  # with the sections `instance` and `log`

_log = EventLog("settings")


class SettingsFile(Generic[Settings]):
    """Reads and checks one file; `parse` returns its settings or every fault that it has."""

    def __init__(
        self, path: str, parse: Callable[[str], Result[Settings, tuple[str, ...]]]
    ) -> None:
        self._path = path
        self._parse = parse

    def load(self) -> Settings | None:
        """Return the settings and begin to log; write the faults to standard error if any."""
        loaded = self._read()
        if isinstance(loaded, Err):
            for fault in loaded.err_value:
                sys.stderr.write(f"{self._path}: {fault}\n")
            return None
        settings = loaded.ok_value
        log_to_standard_output(settings.log.level, settings.instance.id)
        return settings

    def reload(self, current: Settings) -> None:
        """Apply the log level, which can change in a running process.

        It is logged whether other settings have changed, which need a restart.
        """
        loaded = self._read()
        if isinstance(loaded, Err):
            _log.error("settings.unreadable", faults=list(loaded.err_value), kept=True)
            return
        log = loaded.ok_value.log
        log_to_standard_output(log.level, current.instance.id)
        needs_restart = loaded.ok_value != msgspec.structs.replace(current, log=log)
        _log.info("settings.reloaded", needs_restart=needs_restart)

    def _read(self) -> Result[Settings, tuple[str, ...]]:
        try:
            text = Path(self._path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return Err((f"the file cannot be read: {error}",))
        return self._parse(text)
