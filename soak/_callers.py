"""Callers that read streams a few bytes at a time and take up those that break off."""

import random
from dataclasses import dataclass, field

import trio

from soak._gateways import Instance, open_stream
from soak._records import Stream, Try, read_event

DEADLINE_MS = 3_000
MIN_LEFT_MS = 100
RETRIES = 1
SPREAD_SHARE = 0.2  # of tries that go to any gateway, also one that is down
READ_BYTES = (1, 2, 7, 64)
EVENT_TOKENS = 12
MEAN_EVENTS = 6
MAX_EVENTS = 24
ROUTES = (
    ("drafts", 0.3),
    ("sweeps", 0.1),
    ("split", 0.2),
    ("once", 0.1),
    ("kept", 0.2),
    ("orders", 0.1),
)
CAN_RESUME_BY_ROUTE = {"once": False, "orders": False}

REFUSED = (429, 503)
BUDGET_SPENT = 402


class NoAnswerError(Exception):
    """The bytes of an answer are not HTTP/1.1."""


@dataclass(slots=True)
class Caller:
    """Runs programs, whose turns are streams, at the gateways; few reach those in `stopping`."""

    gateways: list[Instance]
    stopping: set[str]
    rng: random.Random
    streams: list[Stream] = field(default_factory=list)
    requests: int = 0

    async def run_program(self, number: int) -> None:
        """Run the turns of a program one after the other."""
        rng = random.Random(self.rng.random())
        turns = rng.randint(1, 4)
        budget = rng.choice((turns * MAX_EVENTS,) * 5 + (turns * MEAN_EVENTS // 2,)) * EVENT_TOKENS
        fields = {"Program-Id": f"p{number}", "Session-Id": f"p{number}"}
        fields |= {"Program-Deadline-Ms": "8000", "Token-Budget": str(budget)}
        fields |= {"Key": f"key-{rng.randint(1, 8)}", "Model": "m"}
        routes, shares = zip(*ROUTES, strict=True)
        route = rng.choices(routes, shares)[0]
        for turn in range(turns):
            total = min(MAX_EVENTS, max(1, round(rng.lognormvariate(1.6, 0.8))))
            stream = Stream(
                f"s{number}x{turn}", total, route, can_resume=CAN_RESUME_BY_ROUTE.get(route, True)
            )
            self.streams.append(stream)
            await self._run_stream(stream, fields, rng)
            if stream.tries[-1].status == BUDGET_SPENT:
                return
            if route == "kept" and stream.is_whole:
                fields["Previous-Turn"] = stream.tries[-1].attempt
            await trio.sleep(rng.uniform(0.05, 0.3))

    async def _run_stream(self, stream: Stream, fields: dict, rng: random.Random) -> None:
        ends_s = trio.current_time() + DEADLINE_MS / 1000
        for _ in range(RETRIES + 1):
            left_ms = int(1000 * (ends_s - trio.current_time()))
            if left_ms < MIN_LEFT_MS or not _may_try(stream):
                return
            gateway = self.pick_gateway(stream, rng)
            await self.send(stream, gateway, {**fields, "Deadline-Ms": str(left_ms)}, rng)
            await trio.sleep(0.02)

    def pick_gateway(self, stream: Stream, rng: random.Random) -> Instance:
        """Return a gateway that the stream has not tried, mostly one that is up."""
        tried = {each.gateway for each in stream.tries}
        left = [each for each in self.gateways if each.name not in tried]
        up = [each for each in left if each.name not in self.stopping]
        return rng.choice(up if up and rng.random() >= SPREAD_SHARE else left)

    async def send(
        self, stream: Stream, gateway: Instance, fields: dict, rng: random.Random
    ) -> None:
        """Send one request of a stream, and record what comes of it."""
        self.requests += 1
        each = Try(f"a{self.requests}", gateway.name, stream.last_number, trio.current_time())
        each.account = fields["Key"].replace("key", "tenant")
        begun = [earlier for earlier in stream.tries if earlier.status == 200 and earlier.pieces]
        if begun:
            fields |= {"Last-Event-Id": str(stream.last_number), "Resumes": begun[0].attempt}
        fields |= {"Host": "a.example", "Attempt-Id": each.attempt, "Content-Length": "4300"}
        fields |= {"Token-Count": f"654,{stream.total * EVENT_TOKENS}"}
        fields |= {"Prompt-Prefix": f"5c1e07a2:512,{rng.randint(1, 1 << 30):x}:142"}
        lines = [f"POST /{stream.route}/{stream.name}/{stream.total} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        stream.tries.append(each)
        data = "\r\n".join([*lines, "", ""]).encode() + b"x" * 4300
        with trio.move_on_after(int(fields["Deadline-Ms"]) / 1000 + 0.2) as scope:
            try:
                async with await open_stream(gateway.listen) as connection:
                    await connection.send_all(data)
                    await _Reader(connection, rng).read_answer(each)
            except (OSError, EOFError, trio.BrokenResourceError) as error:
                each.error = f"{type(error).__name__}: {error}"
            except NoAnswerError as error:
                each.error = f"no answer: {error}"
                each.strange.append(str(error).encode())
        each.error = "left after the deadline" if scope.cancelled_caught else each.error
        each.ended_s = trio.current_time()


def _may_try(stream: Stream) -> bool:
    """Return whether a caller sends a request again after its last try."""
    if not stream.tries:
        return True
    last = stream.tries[-1]
    if stream.can_resume:
        return last.status in (0, *REFUSED) or last.status >= 500 or not last.is_complete
    return last.status in REFUSED


class _Reader:
    """Reads an answer, and splits it into events as they arrive."""

    def __init__(self, connection: trio.SocketStream, rng: random.Random) -> None:
        self._connection = connection
        self._rng = rng
        self._buffer = bytearray()

    async def read_answer(self, each: Try) -> None:
        """Fill in what comes of an answer until it ends or breaks off."""
        first, *lines = (await self._read_until(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        words = first.split(" ")
        if words[0] != "HTTP/1.1" or not words[1:] or not words[1].isdigit():
            raise NoAnswerError(first)
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        each.status = int(words[1])
        each.is_sealed = "server-seal" in headers
        body = bytearray()
        try:
            await self._read_body(headers, body, each)
            each.is_complete = True
        finally:
            if each.is_complete and body and each.status == 200:
                each.strange.append(bytes(body))

    async def _read_body(self, headers: dict[str, str], body: bytearray, each: Try) -> None:
        if headers.get("transfer-encoding") != "chunked":
            length = int(headers.get("content-length", 0))
            _take_events(body, await self._read_exactly(length), each)
            return
        while True:
            size = await self._read_until(b"\r\n")
            try:
                length = int(size.split(b";")[0], 16)
            except ValueError:
                raise NoAnswerError(f"chunk of {size!r} bytes") from None
            while length:
                part = await self._read_exactly(min(length, self._rng.choice(READ_BYTES)))
                length -= len(part)
                _take_events(body, part, each)
            if await self._read_until(b"\r\n"):
                raise NoAnswerError("chunk longer than its size")
            if int(size.split(b";")[0], 16) == 0:
                return

    async def _read_until(self, mark: bytes) -> bytes:
        while (at := self._buffer.find(mark)) < 0:
            await self._receive()
        found = bytes(self._buffer[:at])
        del self._buffer[: at + len(mark)]
        return found

    async def _read_exactly(self, length: int) -> bytes:
        while len(self._buffer) < length:
            await self._receive()
        found = bytes(self._buffer[:length])
        del self._buffer[:length]
        return found

    async def _receive(self) -> None:
        data = await self._connection.receive_some(max(64, self._rng.choice(READ_BYTES)))
        if not data:
            raise EOFError("closed before the end")
        self._buffer += data


def _take_events(body: bytearray, data: bytes, each: Try) -> None:
    """Add bytes to a body, and take the events that are whole out of it."""
    body += data
    while (at := body.find(b"\n\n")) >= 0:
        found = read_event(bytes(body[:at]))
        del body[: at + 2]
        if isinstance(found, bytes):
            each.strange.append(found)
        elif found is not None:
            each.pieces.append(found)
