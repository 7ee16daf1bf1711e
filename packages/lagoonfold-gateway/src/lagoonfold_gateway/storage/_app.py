"""Runs a storage instance as a process: settings, file, signals, reload."""

import os
import signal
from collections.abc import Callable

import trio
from result import Err

from lagoonfold import TransactionalStore
from lagoonfold_gateway._dialect import RetirementDialect
from lagoonfold_gateway._settings_file import EXIT_SETTINGS, SettingsFile
from lagoonfold_gateway.storage._node import BYTES_PER_MB, StorageNode
from lagoonfold_gateway.storage._settings import StorageSettings, parse_storage_settings
from lagoonfold_io import TurnFile, receive_signals
from lagoonfold_io.observe import EventLog

EXIT_DISK = 3
FILE_NAME = "turns.db"

_log = EventLog("storage")


def run_storage(
    settings_path: str,
    dialect: RetirementDialect,
    make_store: Callable[[str], TransactionalStore],
) -> int:
    """Run an instance until SIGTERM or SIGINT; return the exit status of the process.

    SIGHUP reloads the settings.
    """
    settings_file = SettingsFile(settings_path, parse_storage_settings)
    settings = settings_file.load()
    if settings is None:
        return EXIT_SETTINGS
    file = open_turn_file(settings)
    if file is None:
        return EXIT_DISK
    trio.run(_run, settings, settings_file, dialect, make_store(settings.store.address), file)
    return 0


def open_turn_file(settings: StorageSettings) -> TurnFile | None:
    """Open the file of turns; one that is damaged is renamed, and a new one begun.

    The disk then has another id, so that the other instances copy to it what it should hold.
    """
    path = os.path.join(settings.instance.data_folder, FILE_NAME)
    max_bytes = settings.instance.max_disk_mb * BYTES_PER_MB
    opened = TurnFile.open(path, max_bytes=max_bytes)
    if isinstance(opened, Err) and opened.err_value.is_damaged:
        _log.error("disk.damaged", reason=opened.err_value.detail)
        for suffix in ("", "-wal"):
            if os.path.exists(path + suffix):
                os.replace(path + suffix, f"{path}.damaged{suffix}")
        opened = TurnFile.open(path, max_bytes=max_bytes)
    if isinstance(opened, Err):
        _log.error("disk.failed", reason=opened.err_value.detail)
        return None
    return opened.ok_value


async def _run(
    settings: StorageSettings,
    settings_file: SettingsFile[StorageSettings],
    dialect: RetirementDialect,
    store: TransactionalStore,
    file: TurnFile,
) -> None:
    with receive_signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            node = StorageNode(settings, dialect, store, file, nursery)
            await node.start(nursery)
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                settings_file.reload(settings)
            node.usage.log()
            nursery.cancel_scope.cancel()
    file.close()
    _log.info("storage.stopped")
