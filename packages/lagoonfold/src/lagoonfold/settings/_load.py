"""Load an instance's INI settings, and report all faults at once.

loaded = load_settings(Path("instance.ini"))
if isinstance(loaded, Err):
    for fault in loaded.err_value:
        print(fault)
"""

import configparser
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from lagoonfold.settings._models import Settings

_REPEATED = " (repeated)"


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingsFault:
    """One fault of a settings file: its section, key and value, and what was expected instead."""

    section: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        location = f"[{self.section}] {self.key}".rstrip()
        return f"{location} = {self.value!r}: expected {self.expected}"


def load_settings(path: Path | str) -> Result[Settings, tuple[SettingsFault, ...]]:
    """Read and check a settings file; the error holds all faults found."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        expected = f"a readable file in UTF-8 ({error})"
        return Err((SettingsFault(section="", key="", value=str(path), expected=expected),))
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, tuple[SettingsFault, ...]]:
    """Check the text of a settings file; the error holds all faults found."""
    parser, faults = _parse_ini(text)
    sections = {
        name: dict(parser.items(name)) for name in parser.sections() if _REPEATED not in name
    }
    try:
        settings = Settings.model_validate(sections)
    except ValidationError as error:
        faults.extend(_describe(detail, sections) for detail in error.errors())
        return Err(tuple(faults))
    return Err(tuple(faults)) if faults else Ok(settings)


def _parse_ini(text: str) -> tuple[configparser.ConfigParser, list[SettingsFault]]:
    """Parse the text; record each faulty line, replace it and parse again, to find all faults."""
    faults: list[SettingsFault] = []
    lines = text.splitlines()
    while True:
        parser = configparser.ConfigParser(
            interpolation=None, default_section="", empty_lines_in_values=False
        )
        try:
            parser.read_string("\n".join(lines))
            return parser, faults
        except configparser.DuplicateSectionError as error:
            faults.append(
                _ini_fault(error.section, "", lines[error.lineno - 1], "the section only once")
            )
            lines[error.lineno - 1] = f"[{error.section}{_REPEATED}{len(faults)}]"
        except configparser.DuplicateOptionError as error:
            line = lines[error.lineno - 1]
            faults.append(_ini_fault(error.section, error.option, line, "the key only once"))
            lines[error.lineno - 1] = ""
        except configparser.MissingSectionHeaderError as error:
            faults.append(
                _ini_fault("", "", error.line.strip(), "a [section] before the first key")
            )
            lines[error.lineno - 1] = ""
        except configparser.ParsingError as error:
            for number, _ in error.errors:
                faults.append(_ini_fault("", "", lines[number - 1], "a line `key = value`"))
                lines[number - 1] = ""


def _ini_fault(section: str, key: str, value: str, expected: str) -> SettingsFault:
    return SettingsFault(section=section, key=key, value=value, expected=expected)


def _describe(detail: ErrorDetails, sections: Mapping[str, Mapping[str, str]]) -> SettingsFault:
    """Convert one of pydantic's errors to a fault."""
    section = str(detail["loc"][0]) if detail["loc"] else ""
    key = str(detail["loc"][1]) if len(detail["loc"]) > 1 else ""
    value = sections.get(section, {}).get(key, "")
    return SettingsFault(section=section, key=key, value=value, expected=_expected(detail, key))


def _expected(detail: ErrorDetails, key: str) -> str:
    if detail["type"] == "extra_forbidden":
        return "no key of this name in the section" if key else "no section of this name"
    if detail["type"] == "missing":
        return "a value; the key is required" if key else "the section; it is required"
    if detail["type"] == "string_pattern_mismatch":
        return "lower-case letters, digits and hyphens, 63 at most"
    message = detail["msg"].removeprefix("Value error, ")
    return message.removeprefix("Input should be ")
