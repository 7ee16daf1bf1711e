"""The commands that add, change, retire, list and show configuration documents."""

from collections.abc import Mapping

from result import Result

from lagoonfold import Refusal
from lagoonfold.config import Change, ChangeRecord, Configuration, digest_of_key, generate_secret
from lagoonfold_ctl._commands import command
from lagoonfold_ctl._inputs import parse_input
from lagoonfold_ctl._kinds import ACCOUNT, KEY, PROFILE, ROUTE, Kind, find
from lagoonfold_ctl._render import describe_change, render_fields, render_table, to_fields
from lagoonfold_ctl._session import CommandError, Session, unwrap

GivenFields = Mapping[str, object]


class _Commands:
    """The commands shared by all kinds of documents."""

    def __init__(self, session: Session, kind: Kind) -> None:
        self._session = session
        self._kind = kind

    @command
    def retire(self, name: str) -> None:
        """Retire a document; this can't be undone."""

        def make_change(configuration: Configuration) -> Result[Change, Refusal]:
            return find(self._kind, configuration, name).map(self._kind.retire)

        self._report(self._session.propose(make_change))

    @command
    def list(self) -> None:
        """List all documents of this kind."""
        documents = self._kind.documents_of(self._session.read())
        rows = [to_fields(document) for _, document in sorted(documents.items())]
        self._session.show(rows, render_table(rows))

    @command
    def show(self, name: str) -> None:
        """Show one document."""
        configuration = self._session.read()
        found = unwrap(find(self._kind, configuration, name))
        fields = to_fields(self._kind.documents_of(configuration)[found])
        self._session.show(fields, render_fields(fields))

    def _add(self, given: GivenFields) -> ChangeRecord:
        parsed = parse_input(self._kind.model, given)
        change = parsed.map(lambda valid: self._kind.put(valid.to_document(), False))
        return self._session.propose(lambda _: change)

    def _change(self, name: str, given: GivenFields) -> ChangeRecord:
        kind = self._kind

        def make_change(configuration: Configuration) -> Result[Change, Refusal]:
            found = find(kind, configuration, name)
            existing = found.map(lambda key: kind.documents_of(configuration)[key])
            parsed = existing.map(kind.model.fields_of).and_then(
                lambda fields: parse_input(kind.model, given, fields)
            )
            return parsed.map(lambda valid: kind.put(valid.to_document(), True))

        return self._session.propose(make_change)

    def _report(self, record: ChangeRecord, **extra: object) -> None:
        fields = {**describe_change(record), **extra}
        self._session.show(fields, render_fields(fields))


class AccountCommands(_Commands):
    """Client accounts: rate and burst, summed over all instances."""

    def __init__(self, session: Session) -> None:
        super().__init__(session, ACCOUNT)

    @command
    def add(self, id: str, rate: str, burst: str, weight: str | None = None) -> None:
        """Add an account that may send RATE requests per second, and BURST requests at once."""
        self._report(self._add({"id": id, "rate": rate, "burst": burst, "weight": weight}))

    @command
    def change(
        self, id: str, rate: str | None = None, burst: str | None = None, weight: str | None = None
    ) -> None:
        """Change the given fields of an account."""
        self._report(self._change(id, {"rate": rate, "burst": burst, "weight": weight}))


class RouteCommands(_Commands):
    """Routes to models, tools and other services."""

    def __init__(self, session: Session) -> None:
        super().__init__(session, ROUTE)

    @command
    def add(
        self,
        name: str,
        kind: str,
        target: str,
        idempotent: str | None = None,
        open: str | None = None,
        timeout: str | None = None,
        cost_per_call: str | None = None,
        cost_per_1000_tokens: str | None = None,
    ) -> None:
        """Add a route of KIND model, tool or service to TARGET, a name in the instance list."""
        self._report(self._add(_given(locals())))

    @command
    def change(
        self,
        name: str,
        kind: str | None = None,
        target: str | None = None,
        idempotent: str | None = None,
        open: str | None = None,
        timeout: str | None = None,
        cost_per_call: str | None = None,
        cost_per_1000_tokens: str | None = None,
    ) -> None:
        """Change the given fields of a route."""
        self._report(self._change(name, _given(locals())))


class ProfileCommands(_Commands):
    """Profiles: permitted accounts and routes, budget, longest wait and weight of programs."""

    def __init__(self, session: Session) -> None:
        super().__init__(session, PROFILE)

    @command
    def add(
        self,
        name: str,
        accounts: str | None = None,
        routes: str | None = None,
        tokens: str | None = None,
        calls: str | None = None,
        cost_micros: str | None = None,
        wall: str | None = None,
        max_wait: str | None = None,
        weight: str | None = None,
    ) -> None:
        """Add a profile for ACCOUNTS and ROUTES (comma-separated), with a budget per program."""
        self._report(self._add(_given(locals())))

    @command
    def change(
        self,
        name: str,
        accounts: str | None = None,
        routes: str | None = None,
        tokens: str | None = None,
        calls: str | None = None,
        cost_micros: str | None = None,
        wall: str | None = None,
        max_wait: str | None = None,
        weight: str | None = None,
    ) -> None:
        """Change the given fields of a profile."""
        self._report(self._change(name, _given(locals())))


class KeyCommands(_Commands):
    """API keys: printed once when added, stored as digests, named by a prefix of the digest."""

    def __init__(self, session: Session) -> None:
        super().__init__(session, KEY)

    @command
    def add(self, account: str, profiles: str | None = None, label: str | None = None) -> None:
        """Add a key for an account and print it; it can't be printed again."""
        secret = generate_secret()
        digest = digest_of_key(secret)
        given = {"digest": digest, "account": account, "profiles": profiles, "label": label}
        record = self._add(given)
        stored_key = getattr(record.change, "key", None)
        if stored_key is None or stored_key.digest != digest:
            raise CommandError(
                "this change id was used before; if that change added a key, the key can't be "
                "printed again: retire it and add another"
            )
        self._report(record, key=secret, digest=digest)

    @command
    def change(self, digest: str, profiles: str | None = None, label: str | None = None) -> None:
        """Change the profiles or the label of a key."""
        self._report(self._change(digest, {"profiles": profiles, "label": label}))


def _given(arguments: GivenFields) -> GivenFields:
    """Return the `locals()` of a command method without `self`: one input field per argument."""
    return {name: value for name, value in arguments.items() if name != "self"}
