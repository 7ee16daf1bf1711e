"""Runs a gateway as a process: settings, signals, reload."""

import signal
from collections.abc import Callable

import trio

from lagoonfold import TransactionalStore
from lagoonfold_gateway._dialect import Dialect
from lagoonfold_gateway._gateway import Gateway
from lagoonfold_gateway._settings import GatewaySettings, parse_settings
from lagoonfold_gateway._settings_file import EXIT_SETTINGS, SettingsFile
from lagoonfold_io import receive_signals

MakeStore = Callable[[str], TransactionalStore]


def run_gateway(settings_path: str, dialect: Dialect, make_store: MakeStore) -> int:
    """Run an instance until SIGTERM or SIGINT; return the exit status of the process.

    SIGHUP reloads the settings.
    """
    settings_file = SettingsFile(settings_path, parse_settings)
    settings = settings_file.load()
    if settings is None:
        return EXIT_SETTINGS
    store = make_store(settings.store.address)
    trio.run(_run, settings, settings_file, dialect, store)
    return 0


async def _run(
    settings: GatewaySettings,
    settings_file: SettingsFile[GatewaySettings],
    dialect: Dialect,
    store: TransactionalStore,
) -> None:
    with receive_signals(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            gateway = Gateway(settings, dialect, store, nursery)
            await gateway.start(nursery)
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                settings_file.reload(settings)
            await gateway.stop()
            nursery.cancel_scope.cancel()
