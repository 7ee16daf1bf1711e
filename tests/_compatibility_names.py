"""The names that the code exposes now: store keys, metrics, commands and enum values."""

import ast
import contextlib
import inspect
import io
from collections.abc import Callable, Iterator
from enum import Enum
from importlib.metadata import distribution
from pathlib import Path
from types import ModuleType
from typing import get_args

import fire
from fire.decorators import FIRE_METADATA

import lagoonfold_gateway
import lagoonfold_node
from lagoonfold import Ran, StoreErrorKind, forwarding, records
from lagoonfold import config as configuration
from lagoonfold_ctl import _fleet
from lagoonfold_ctl._commands import Pending
from lagoonfold_ctl._main import Lagoonfold
from lagoonfold_gateway import DEFAULT_DIALECT, DEFAULT_RETIREMENT
from lagoonfold_gateway._charges import BUDGET_PREFIX
from lagoonfold_gateway._registration import MEMBER_PREFIX
from lagoonfold_gateway.histories._disk_controller import DISK_PREFIX
from lagoonfold_io._http_connection import StreamError
from lagoonfold_io._http_exchange import ClientGoneError
from lagoonfold_io._http_faults import FaultError
from lagoonfold_io.observe import Metrics
from lagoonfold_node._dispatch._poison import KEY_PREFIX as POISON_PREFIX
from lagoonfold_node._dispatch._requests import PlacementOutcome
from lagoonfold_node._ownership._context import ALLOCATOR_KEY, INSTANCES_PREFIX, OWNERSHIP_KEY
from lagoonfold_node._peers._calls import PeerLostError

_SOURCES = {"gateway": lagoonfold_gateway, "daemon": lagoonfold_node}
_METHODS = {method.__name__ for method in (Metrics.count, Metrics.record, Metrics.set_gauge)}
_OTHER_REASON = "other"
_COUNTED_EXCEPTIONS = (
    ClientGoneError,
    configuration.ConfigurationError,
    forwarding.EventError,
    FaultError,
    PeerLostError,
    StreamError,
)


def keys_of_stores() -> dict[str, str]:
    """Return the keys and prefixes of the stores, by what is stored under them."""
    shard_id, version = 3, 17
    return {
        "journal entry": records.journal_key(shard_id, 7),
        "journal": records.journal_prefix(shard_id),
        "checkpoint": records.checkpoint_key(shard_id),
        "bulk value": records.blob_key(shard_id, records.blob_name(7, b"value")),
        "configuration head": configuration.HEAD_KEY,
        "configuration snapshot": configuration.snapshot_key(version),
        "configuration history": configuration.history_key(version),
        "ownership table": OWNERSHIP_KEY,
        "allocator": ALLOCATOR_KEY,
        "daemon members": INSTANCES_PREFIX,
        "daemon members, for operators": _fleet.INSTANCES_PREFIX,
        "poison notices": POISON_PREFIX,
        "gateway members": MEMBER_PREFIX,
        "budgets": BUDGET_PREFIX,
        "gateway configuration": DEFAULT_DIALECT.config_key,
        "gateway configuration, watched": DEFAULT_DIALECT.config_prefix,
        "replicas": DEFAULT_DIALECT.replica_prefix,
        "disks": DISK_PREFIX,
        "requests to empty a disk": DEFAULT_RETIREMENT.request_prefix,
        "answers to requests to empty a disk": DEFAULT_RETIREMENT.answer_prefix,
    }


class _KindOf:
    """A stand-in for any object with a route, for metrics that are named by the route's kind."""

    def __init__(self, kind: Enum) -> None:
        self._kind = kind

    def __getattr__(self, name: str) -> object:
        return getattr(self._kind, name) if name in ("name", "value") else self


def _metric_calls(source: ModuleType) -> Iterator[ast.Call]:
    """Yield the calls in a program's source that count, record or set a metric."""
    for path in sorted(Path(source.__path__[0]).rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                receiver = ast.unparse(node.func.value)
                if node.func.attr in _METHODS and receiver.endswith("metrics"):
                    yield node


def _texts_of(node: ast.expr) -> list[str]:
    """Return the values of a metric's name expression: one, or one for each kind of route."""
    free = {each.id for each in ast.walk(node) if isinstance(each, ast.Name)}
    code = compile(ast.Expression(node), "metric", "eval")
    if not free:
        return [eval(code)]
    return [
        eval(code, dict.fromkeys(free, _KindOf(kind)))  # evaluates only this project's source
        for kind in forwarding.RouteKind
    ]


def metrics_page(program: str) -> str:
    """Return the metrics page of the gateway or the daemon with each metric of its source set once.

    A reason that is not a literal is shown as `other`.
    """
    metrics = Metrics()
    met = set()
    for call in _metric_calls(_SOURCES[program]):
        for name in _texts_of(call.args[0]):
            reason = call.args[1] if len(call.args) > 1 else None
            met.add((call.func.attr, name, _reason_of(call.func.attr, reason)))
    for method, name, reason in met:
        if method == Metrics.count.__name__:
            metrics.count(name, reason)
        elif method == Metrics.record.__name__:
            metrics.record(name, 0.5)
        else:
            metrics.set_gauge(name, 1)
    return metrics.render()


def _reason_of(method: str, node: ast.expr | None) -> str:
    if method != Metrics.count.__name__ or node is None:
        return ""
    return node.value if isinstance(node, ast.Constant) else _OTHER_REASON


def installed_commands() -> list[str]:
    """Return the names of the installed commands."""
    packages = ("lagoonfold-ctl", "lagoonfold-node")
    return sorted(each.name for name in packages for each in distribution(name).entry_points)


def _flags_of(function: Callable) -> list[str]:
    """Return the flags of a command; `*` marks a required flag, `...` further arguments."""
    flags = []
    for name, parameter in inspect.signature(function).parameters.items():
        if parameter.kind is inspect.Parameter.VAR_POSITIONAL:
            flags.append("...")
        elif name != "self":
            flags.append(name + "*" * (parameter.default is inspect.Parameter.empty))
    return flags


def flags_of_daemon() -> list[str]:
    """Return the flags of the daemon."""
    return _flags_of(lagoonfold_node.serve)


def flags_by_command() -> dict[str, list[str]]:
    """Return the flags of each command of `lagoonfold`; the common flags have an empty key."""
    found = {"": _flags_of(Lagoonfold)}
    top = Lagoonfold()
    for name in _public_names(top):
        group = getattr(top, name)
        if callable(group):
            found[name] = _flags_of(group)
            continue
        for action in _public_names(group):
            found[f"{name} {action}"] = _flags_of(getattr(group, action))
    return found


def _public_names(component: object) -> list[str]:
    found = (name for name in dir(component) if not name.startswith("_"))
    return [name for name in found if name != FIRE_METADATA]


def is_understood(words: list[str]) -> bool:
    """Return whether the whole command line can be parsed; the command is not run."""
    shown = io.StringIO()
    with contextlib.redirect_stderr(shown), contextlib.redirect_stdout(shown):
        try:
            asked = fire.Fire(Lagoonfold, command=words, serialize=lambda _: None)
        except SystemExit:
            return False
    return isinstance(asked, Pending)


def values_of_lists() -> dict[str, list[str]]:
    """Return the enum values that are encoded, sent in responses or used as metric labels."""
    lists = {
        "whether a refused request ran": Ran,
        "outcomes of calls": records.CallOutcome,
        "reasons for a program's end": records.EndReason,
        "kinds of a daemon's routes": configuration.RouteKind,
        "kinds of a gateway's routes": forwarding.RouteKind,
        "ends of a gateway's tries": forwarding.AttemptOutcome,
        "outcomes of placements": PlacementOutcome,
        "errors of the store": StoreErrorKind,
    }
    found = {what: sorted(each.value for each in kinds) for what, kinds in lists.items()}
    found["decisions about calls"] = sorted(
        each.__name__.lower() for each in get_args(records.CallDecision)
    )
    found["exceptions counted by name"] = sorted(each.__name__ for each in _COUNTED_EXCEPTIONS)
    return found
