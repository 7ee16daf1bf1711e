"""Asks instances to explain a request, on their metrics ports."""

from dataclasses import dataclass

import msgspec
import trio
from result import Err

from lagoonfold.explanations import Explanation
from lagoonfold_io import HttpClient, HttpRequest, HttpResponse

TIMEOUT_S = 3.0
_STATUS_OK = 200
_JSON = "application/json"
_MAX_SHOWN_CHARS = 300  # of an answer that reports a fault


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceAnswer:
    """What came from an address: an explanation, or in `answer` why there is none."""

    address: str
    answer: str
    has_answered: bool = True
    explanation: Explanation | None = None


async def ask_all(addresses: tuple[str, ...], body: dict[str, object]) -> list[InstanceAnswer]:
    """Return the answer of each address in the given order; all are asked at once."""
    client, content = HttpClient(), msgspec.json.encode(body)
    answer_by_address: dict[str, InstanceAnswer] = {}

    async def ask(address: str) -> None:
        request = HttpRequest(
            method="POST", path="/explain", headers=(("content-type", _JSON),), body=content
        )
        answer = await client.fetch(address, request, timeout_s=TIMEOUT_S)
        if isinstance(answer, Err):
            answer_by_address[address] = InstanceAnswer(
                address=address, answer="no answer", has_answered=False
            )
        else:
            answer_by_address[address] = read_answer(address, answer.ok_value)

    async with trio.open_nursery() as nursery:
        for address in dict.fromkeys(addresses):
            nursery.start_soon(ask, address)
    client.close()
    return [answer_by_address[address] for address in dict.fromkeys(addresses)]


def read_answer(address: str, response: HttpResponse) -> InstanceAnswer:
    """Return what a response says; an instance of an earlier release sends its metrics."""
    if response.status != _STATUS_OK:
        text = response.body.decode(errors="replace")[:_MAX_SHOWN_CHARS]
        return InstanceAnswer(address=address, answer=f"status {response.status}: {text}")
    if not (response.header("content-type") or "").startswith(_JSON):
        return InstanceAnswer(address=address, answer="does not explain")
    try:
        explanation = msgspec.json.decode(response.body, type=Explanation)
    except msgspec.DecodeError as error:
        return InstanceAnswer(address=address, answer=f"cannot be read: {error}")
    has_config = explanation.config_version is not None
    answer = "explains" if has_config else "has no configuration yet"
    return InstanceAnswer(address=address, answer=answer, explanation=explanation)
