"""The command line `lagoonfold`: edits the configuration, checks settings, queries instances.

lagoonfold account add north --rate=50 --burst=100 --kv=10.0.0.5:2379
lagoonfold key add north --kv=10.0.0.5:2379
lagoonfold check instance.ini
"""

import logging
import sys
from pathlib import Path

import fire
from fire.decorators import SetParseFn
from result import Err

from lagoonfold.settings import load_settings
from lagoonfold_ctl._commands import Pending, command, run_pending
from lagoonfold_ctl._disks import DiskCommands
from lagoonfold_ctl._documents import (
    AccountCommands,
    KeyCommands,
    ProfileCommands,
    RouteCommands,
)
from lagoonfold_ctl._fleet import FleetCommands
from lagoonfold_ctl._render import describe_change, render_table
from lagoonfold_ctl._session import EXIT_REFUSED, EXIT_USAGE, CommandError, Session, unwrap
from lagoonfold_ctl._story import describe_line, read_timeline
from lagoonfold_ctl._usage import USAGE, wants_overview
from lagoonfold_ctl._where import WhereCommands, WhereOptions

_TRUE_WORDS = ("true", "1", "yes")
_DEFAULT_HISTORY_LIMIT = 20


@SetParseFn(str)
class Lagoonfold:
    """Operate lagoonfold.

    Common options: --kv=HOST:PORT or --settings=FILE, --by=NAME, --json, --expect-version=N
    (refuse the change if anything changed since version N), --change-id=ID (repeat a change
    whose outcome is unknown).
    """

    def __init__(
        self,
        kv: str = "",
        settings: str = "",
        by: str = "",
        json: str = "false",
        expect_version: str = "",
        change_id: str = "",
    ) -> None:
        session = Session(
            kv=kv,
            settings=settings,
            by=by,
            json=str(json).lower() in _TRUE_WORDS,
            expect_version=_parse_version(expect_version),
            change_id=change_id,
        )
        self._session = session
        self.account = AccountCommands(session)
        self.key = KeyCommands(session)
        self.profile = ProfileCommands(session)
        self.route = RouteCommands(session)

    @command
    def history(self, limit: str = str(_DEFAULT_HISTORY_LIMIT)) -> None:
        """List the newest changes: who made them, when, and from what version."""
        if not limit.isdigit():
            raise CommandError(f"--limit={limit}: must be a whole number", EXIT_USAGE)

        async def fetch_history(log, *_):
            return unwrap(await log.history(int(limit)))

        rows = [describe_change(record) for record in self._session.run(fetch_history)]
        self._session.show(rows, render_table(rows))

    @command
    def status(self, operators: str = "") -> None:
        """Show the state of every instance, or of those at OPERATORS (comma-separated)."""
        FleetCommands(self._session).status(operators)

    @command
    def explain(self, id: str, operators: str = "") -> None:
        """Show each decision about a program, call or refused request, with its inputs."""
        FleetCommands(self._session).explain(id, operators)

    @command
    def story(self, id: str, *files: str) -> None:
        """Show the log lines about a request or a program, merged from several instances."""
        if not files:
            raise CommandError("story ID FILE...: give at least one log file", EXIT_USAGE)
        try:
            timeline = read_timeline(id, [Path(file) for file in files])
        except OSError as error:
            raise CommandError(f"{error.filename}: {error.strerror}", EXIT_USAGE) from error
        if not timeline.lines:
            raise CommandError(f"no line about {id} in these files", EXIT_REFUSED)
        rows = [describe_line(line, timeline.lines[0]["at"]) for line in timeline.lines]
        text = render_table(rows)
        if timeline.unreadable:
            text += f"\n{timeline.unreadable} lines could not be read"
        self._session.show(rows, text)

    @command
    def disks(self, addresses: str) -> None:
        """Show what the storage instances at ADDRESSES (metrics, comma-separated) hold."""
        DiskCommands(self._session).show(addresses)

    @command
    def where(
        self,
        at: str = "",
        host: str = "",
        path: str = "",
        account: str = "",
        parts: str = "",
        prompt_tokens: str = "0",
        output_tokens: str = "0",
        deadline_ms: str = "",
    ) -> None:
        """Explain where a request would go now, and why, by the instances at AT (metrics ports).

        Nothing is sent or charged. PARTS are parts of the prompt: ID:TOKENS,ID:TOKENS.
        """
        options = WhereOptions(
            at=at,
            host=host,
            path=path,
            account=account,
            parts=parts,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            deadline_ms=deadline_ms,
        )
        WhereCommands(self._session).show(options)

    @command
    def check(self, file: str) -> None:
        """Check a settings file and print every fault in it."""
        loaded = load_settings(file)
        faults = loaded.err_value if isinstance(loaded, Err) else ()
        text = "\n".join(str(fault) for fault in faults) or f"{file}: no faults"
        self._session.show(faults, text)
        if faults:
            sys.exit(EXIT_REFUSED)


def _parse_version(text: str) -> int | None:
    if not text:
        return None
    if not str(text).isdigit():
        raise CommandError(f"--expect-version={text}: must be a whole number", EXIT_USAGE)
    return int(text)


def _show_only_help(component: object) -> object:
    """Return what fire should print: a group, for its help, but no command.

    A command prints its own output when it runs.
    """
    return None if isinstance(component, Pending) else component


def main() -> None:
    """Run the command given in `sys.argv`; exit with the status of the command."""
    if wants_overview(sys.argv[1:]):
        print(USAGE, end="")
        return
    logging.disable(logging.CRITICAL)
    wants_json = any(word in ("--json", "--json=true") for word in sys.argv)
    try:
        component = fire.Fire(Lagoonfold, name="lagoonfold", serialize=_show_only_help)
        if isinstance(component, Pending):
            run_pending(component)
    except CommandError as error:
        sys.exit(Session(json=wants_json).fail(error))
    except KeyboardInterrupt:
        sys.exit(EXIT_REFUSED)
