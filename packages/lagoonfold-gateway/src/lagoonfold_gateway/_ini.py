"""Parses an INI file into checked sections.

All faults are found before anything starts. Unknown sections and keys are faults; a value may be
empty where its key has a default. A placeholder that is left in a value counts as empty: what fills
the templates may not know those of a later release.
"""

import configparser
import re
from typing import Any, TypeVar, get_type_hints

import msgspec
from result import Err, Ok, Result

T = TypeVar("T", bound=msgspec.Struct)

_PLACEHOLDER = re.compile(r"\{\{[^{}]*\}\}")


def parse_ini(text: str, settings_type: type[T], *, process: str) -> Result[T, tuple[str, ...]]:
    """Return the settings of a file's text, or every fault that was found.

    The fields of `settings_type` are the sections; `process` names whose settings they are.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return Err((f"settings cannot be parsed: {error.message}",))
    faults: list[str] = []
    values: dict[str, Any] = {}
    known = get_type_hints(settings_type)
    for name in parser.sections():
        if name in known:
            values[name] = _check_section(name, known[name], dict(parser.items(name)), faults)
        else:
            faults.append(f"section [{name}] does not exist in a {process}'s settings")
    required = (field.name for field in msgspec.structs.fields(settings_type) if field.required)
    faults.extend(f"section [{name}] is missing" for name in required if name not in values)
    if faults:
        return Err(tuple(faults))
    return Ok(settings_type(**values))


def _check_section(name: str, section: type, items: dict[str, str], faults: list[str]) -> Any:
    """Return the section with its checked values; add a fault for each that is wrong."""
    checked: dict[str, Any] = {}
    before = len(faults)
    hints = get_type_hints(section, include_extras=True)
    for key, value in items.items():
        if key not in hints:
            faults.append(f"key {key!r} does not exist in section [{name}]")
            continue
        if not value or _PLACEHOLDER.fullmatch(value):
            continue
        try:
            checked[key] = msgspec.convert(value, hints[key], strict=False)
        except msgspec.ValidationError as error:
            faults.append(f"[{name}] {key} = {value!r}: {error}")
    required = (field.name for field in msgspec.structs.fields(section) if field.required)
    missing = [key for key in required if key not in checked and not _is_at_fault(key, faults)]
    faults.extend(f"[{name}] {key} is required" for key in missing)
    return section(**checked) if len(faults) == before else None


def _is_at_fault(key: str, faults: list[str]) -> bool:
    return any(f"] {key} = " in fault for fault in faults)
