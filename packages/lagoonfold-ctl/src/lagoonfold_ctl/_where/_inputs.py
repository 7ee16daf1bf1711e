"""Validates the options of `lagoonfold where` and makes the body for the instances."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import BeforeValidator, Field, ValidationError

from lagoonfold_ctl._inputs import Input
from lagoonfold_ctl._session import EXIT_USAGE, CommandError

_ADDRESS_PATTERN = r"^[^\s:/]+:\d{1,5}$"
_PART_PATTERN = r"^.+:\d{1,9}$"


def _split(value: object) -> object:
    return [part for part in value.split(",") if part] if isinstance(value, str) else value


def _none_if_empty(value: object) -> object:
    return None if value == "" else value


Tokens = Annotated[int, Field(ge=0, le=10**9)]


@dataclass(frozen=True, slots=True, kw_only=True)
class WhereOptions:
    """The options as they stand on the command line."""

    at: str
    host: str
    path: str
    account: str
    parts: str
    prompt_tokens: str
    output_tokens: str
    deadline_ms: str


class WhereInput(Input):
    """The instances to ask, and the request to explain."""

    at: Annotated[
        tuple[Annotated[str, Field(pattern=_ADDRESS_PATTERN)], ...],
        BeforeValidator(_split),
        Field(min_length=1),
    ]
    host: Annotated[str, Field(min_length=1, max_length=256)]
    path: Annotated[str, Field(pattern="^/", max_length=4_096)]
    account: Annotated[str | None, BeforeValidator(_none_if_empty)] = None
    parts: Annotated[
        tuple[Annotated[str, Field(pattern=_PART_PATTERN)], ...], BeforeValidator(_split)
    ] = ()
    prompt_tokens: Tokens = 0
    output_tokens: Tokens = 0
    deadline_ms: Annotated[
        Annotated[float, Field(gt=0, le=3_600_000)] | None, BeforeValidator(_none_if_empty)
    ] = None

    def body(self, request_id: str) -> dict[str, object]:
        """Return the document to send: the same to each instance."""
        parts = [part.rpartition(":") for part in self.parts]
        return {
            "host": self.host,
            "path": self.path,
            "request_id": request_id,
            "account": self.account,
            "parts": [{"id": part_id, "tokens": int(tokens)} for part_id, _, tokens in parts],
            "prompt_tokens": self.prompt_tokens,
            "output_tokens": self.output_tokens,
            "deadline_ms": self.deadline_ms,
        }


def read_options(options: WhereOptions) -> WhereInput:
    """Return the validated options; raise `CommandError` with all that is wrong with them."""
    values = {name: getattr(options, name) for name in WhereInput.model_fields}
    try:
        return WhereInput.model_validate(values)
    except ValidationError as error:
        faults = "; ".join(
            f"--{str(each['loc'][0]).replace('_', '-')}: {each['msg']}" for each in error.errors()
        )
        raise CommandError(faults, EXIT_USAGE) from error
