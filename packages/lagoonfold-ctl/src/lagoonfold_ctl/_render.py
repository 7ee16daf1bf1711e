"""Plain-text output: aligned tables and lists of fields."""

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime

import msgspec

from lagoonfold.config import ChangeRecord, document_of

_GAP = "  "


def to_fields(document: object) -> dict[str, object]:
    """Return a document as built-in values, with the fields that `--json` prints."""
    return msgspec.to_builtins(document)


def render_fields(fields: Mapping[str, object]) -> str:
    """Return one line per field, name and value aligned."""
    width = max(len(name) for name in fields)
    return "\n".join(f"{name.ljust(width)}{_GAP}{_cell(value)}" for name, value in fields.items())


def render_table(rows: Sequence[Mapping[str, object]]) -> str:
    """Return an aligned table whose header holds the field names of the first row."""
    if not rows:
        return "none"
    header = [name.replace("_", " ") for name in rows[0]]
    cells = [header, *([_cell(value) for value in row.values()] for row in rows)]
    widths = [max(len(line[column]) for line in cells) for column in range(len(header))]
    return "\n".join(_join(line, widths) for line in cells)


def _join(line: Iterable[str], widths: Iterable[int]) -> str:
    return _GAP.join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()


def _cell(value: object) -> str:
    if isinstance(value, Mapping):
        return ", ".join(f"{name}={_cell(part)}" for name, part in value.items())
    if isinstance(value, list | tuple):
        return ",".join(_cell(part) for part in value) or "-"
    return "-" if value in ("", None) else str(value)


def describe_change(record: ChangeRecord) -> dict[str, object]:
    """Return the fields to print for a change: what it is, who made it, when, from what version."""
    changed_at = datetime.fromtimestamp(record.changed_at_s, UTC).isoformat(timespec="seconds")
    return {
        "version": record.version,
        "from_version": record.from_version,
        "changed_at": changed_at,
        "changed_by": record.changed_by,
        "change": f"{record.change.__struct_config__.tag} {document_of(record.change)}",
        "change_id": record.change_id,
    }
