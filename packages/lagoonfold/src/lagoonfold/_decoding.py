"""Decodes what other programs have written, whatever it is."""

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

T = TypeVar("T")


def decode_json(data: bytes, value_type: type[T]) -> Result[T, str]:
    """Return the value of a JSON text, or why it is none of that type.

    Texts nested too deeply to be decoded are errors as well.

        decode_json(b"[1, 2]", list[int])    # Ok([1, 2])
    """
    try:
        return Ok(msgspec.json.decode(data, type=value_type))
    except msgspec.MsgspecError as error:
        return Err(str(error))
    except RecursionError:
        return Err("JSON is nested too deeply")
