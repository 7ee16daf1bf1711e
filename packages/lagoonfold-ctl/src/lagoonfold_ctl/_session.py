"""One run of the command line: its common options, store connection, and output."""

import getpass
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import msgspec
import trio
from result import Err, Result

from lagoonfold import ErrorKind, Ran, Refusal, new_id
from lagoonfold.config import (
    EMPTY_CONFIGURATION,
    Change,
    ChangeProposal,
    ChangeRecord,
    Configuration,
)
from lagoonfold.settings import load_settings
from lagoonfold_io import ConfigLog, EtcdStore, HttpClient

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_UNKNOWN = 5

_CALLS_PER_S = 50.0

T = TypeVar("T")


class CommandError(Exception):
    """A command failed; `exit_status` is the exit status of the process."""

    def __init__(self, detail: str, exit_status: int = EXIT_REFUSED, kind: str = "usage") -> None:
        super().__init__(detail)
        self.detail = detail
        self.exit_status = exit_status
        self.kind = kind


def to_command_error(refusal: Refusal, change_id: str = "") -> CommandError:
    """Return the error that reports a refusal, with its exit status."""
    if refusal.ran is Ran.UNKNOWN:
        detail = f"{refusal.detail}; whether the change took effect is unknown: run the command"
        detail += f" again with --change-id={change_id}"
        return CommandError(detail, EXIT_UNKNOWN, "outcome-unknown")
    status = {
        ErrorKind.VERSION_CONFLICT: EXIT_CONFLICT,
        ErrorKind.PLATFORM_UNAVAILABLE: EXIT_UNAVAILABLE,
    }.get(refusal.kind, EXIT_REFUSED)
    return CommandError(refusal.detail, status, refusal.kind.value)


def unwrap(result: Result[T, Refusal]) -> T:
    """Return the value of a result; raise `CommandError` for a refusal."""
    if isinstance(result, Err):
        raise to_command_error(result.err_value)
    return result.ok_value


@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """The options that all commands share."""

    kv: str = ""
    settings: str = ""
    by: str = ""
    json: bool = False
    expect_version: int | None = None
    change_id: str = ""

    def run(self, action: Callable[[ConfigLog, EtcdStore, HttpClient], Awaitable[T]]) -> T:
        """Run an action with a connection to the key-value service."""
        address = self._address()

        async def operation() -> T:
            client = HttpClient()
            store = EtcdStore(client, address, calls_per_s=_CALLS_PER_S)
            try:
                return await action(ConfigLog(store), store, client)
            finally:
                client.close()

        return trio.run(operation)

    def read(self) -> Configuration:
        """Return the current configuration."""

        async def operation(log: ConfigLog, *_: object) -> Configuration:
            return unwrap(await log.read(EMPTY_CONFIGURATION)).configuration

        return self.run(operation)

    def propose(
        self, make_change: Callable[[Configuration], Result[Change, Refusal]]
    ) -> ChangeRecord:
        """Build a change from the current configuration, commit it and return its record.

        If `change_id` was given and that change is in the log already, return its record instead.
        """
        change_id = self.change_id or new_id("change")

        async def operation(log: ConfigLog, *_: object) -> ChangeRecord:
            configuration = unwrap(await log.read(EMPTY_CONFIGURATION)).configuration
            known = await self._find_committed(log)
            if known is not None:
                return known
            proposal = ChangeProposal(
                change=unwrap(make_change(configuration)),
                change_id=change_id,
                changed_by=self.by or getpass.getuser(),
                changed_at_s=time.time(),
                from_version=self._from_version(configuration),
                is_strict=self.expect_version is not None,
            )
            accepted = await log.propose(proposal)
            if isinstance(accepted, Err):
                raise to_command_error(accepted.err_value, change_id)
            return accepted.ok_value

        return self.run(operation)

    async def _find_committed(self, log: ConfigLog) -> ChangeRecord | None:
        """Return the record of the change that an earlier run with this change id committed."""
        if not self.change_id:
            return None
        return unwrap(await log.find(self.change_id))

    def _from_version(self, configuration: Configuration) -> int:
        return configuration.version if self.expect_version is None else self.expect_version

    def _address(self) -> str:
        if self.kv:
            return self.kv
        if not self.settings:
            raise CommandError("give --kv=HOST:PORT or --settings=FILE", EXIT_USAGE)
        loaded = load_settings(Path(self.settings))
        if isinstance(loaded, Err):
            raise CommandError("; ".join(str(fault) for fault in loaded.err_value), EXIT_USAGE)
        return loaded.ok_value.platform.kv

    def show(self, value: object, text: str) -> None:
        """Print `value` as JSON if `--json` was given, else `text`."""
        print(msgspec.json.encode(value).decode() if self.json else text)

    def fail(self, error: CommandError) -> int:
        """Print an error to standard error and return its exit status."""
        if self.json:
            problem = {"error": error.detail, "kind": error.kind}
            print(msgspec.json.encode(problem).decode(), file=sys.stderr)
        else:
            print(f"lagoonfold: {error.detail}", file=sys.stderr)
        return error.exit_status
