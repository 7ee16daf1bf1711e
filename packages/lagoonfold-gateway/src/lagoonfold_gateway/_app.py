"""Runs a gateway as a process: settings, signals, reload."""

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import trio
from result import Err

from lagoonfold import TransactionalStore
from lagoonfold_gateway._dialect import Dialect
from lagoonfold_gateway._gateway import Gateway
from lagoonfold_gateway._settings import GatewaySettings, parse_settings
from lagoonfold_io.observe import EventLog, log_to_standard_output

EXIT_SETTINGS = 2

MakeStore = Callable[[str], TransactionalStore]

_log = EventLog("gateway")


def run_gateway(settings_path: str, dialect: Dialect, make_store: MakeStore) -> int:
    """Run an instance until SIGTERM or SIGINT; return the exit status of the process.

    SIGHUP reloads the settings.
    """
    loaded = parse_settings(Path(settings_path).read_text(encoding="utf-8"))
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            sys.stderr.write(f"{settings_path}: {fault}\n")
        return EXIT_SETTINGS
    settings = loaded.ok_value
    log_to_standard_output(settings.log.level, settings.instance.id)
    trio.run(_run, settings, settings_path, dialect, make_store)
    return 0


async def _run(
    settings: GatewaySettings,
    settings_path: str,
    dialect: Dialect,
    make_store: MakeStore,
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            store = make_store(settings.store.address)
            gateway = Gateway(settings, dialect, store, nursery)
            await gateway.start(nursery)
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                reload_settings(settings_path, settings)
            await gateway.stop()
            nursery.cancel_scope.cancel()


def reload_settings(settings_path: str, current: GatewaySettings) -> None:
    """Apply the settings that can change in a running process; log if others need a restart."""
    loaded = parse_settings(Path(settings_path).read_text(encoding="utf-8"))
    if isinstance(loaded, Err):
        _log.error("settings.unreadable", faults=list(loaded.err_value), kept=True)
        return
    log_to_standard_output(loaded.ok_value.log.level, current.instance.id)
    needs_restart = loaded.ok_value.instance != current.instance
    _log.info("settings.reloaded", needs_restart=needs_restart, pid=os.getpid())
