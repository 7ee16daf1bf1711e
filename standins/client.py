"""A client of the caller API, as an agent program would use it.

client = Client(["127.0.0.1:8080"], key)
program_id = client.create_program("field")
answer = client.chat(program_id, 1, "convert point 17")
"""

import http.client
import json
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The response of an instance."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body)

    def text(self) -> str:
        """Return the text of a chat completion, streamed or whole."""
        if not self.headers.get("content-type", "").startswith("text/event-stream"):
            return self.json()["choices"][0]["message"]["content"]
        return "".join(delta.get("content") or "" for delta in self._deltas())

    def is_whole(self) -> bool:
        """Return whether a streamed answer reached its end."""
        return b"data: [DONE]" in self.body

    def _deltas(self) -> list[dict]:
        events = [line[6:] for line in self.body.split(b"\n") if line.startswith(b"data: {")]
        chunks = [json.loads(event) for event in events]
        return [chunk["choices"][0]["delta"] for chunk in chunks if chunk.get("choices")]


class Client:
    """Sends requests to several instances in turn, as a load balancer would."""

    def __init__(self, addresses: Sequence[str], key: str, *, timeout_s: float = 30.0) -> None:
        self._addresses = list(addresses)
        self._key = key
        self._timeout_s = timeout_s
        self._next = 0

    def create_program(self, profile: str, **fields: object) -> str:
        """Start a program under a profile and return its id."""
        reply = self.send("POST", "/v1/programs", {"profile": profile, **fields})
        if reply.status != 201:
            raise RuntimeError(f"{reply.status}: {reply.body.decode()}")
        return reply.json()["program_id"]

    def chat(
        self, program_id: str, turn: int, text: str, *, stream: bool = True, **fields: object
    ) -> Reply:
        """Send one turn's new message to the model."""
        messages = [{"role": "user", "content": text}]
        body = {"model": "small", "messages": messages, "stream": stream, **fields}
        headers = {"Lagoonfold-Program": program_id, "Lagoonfold-Turn": str(turn)}
        return self.send("POST", "/v1/chat/completions", body, headers)

    def tool(self, program_id: str, turn: int, route: str, body: object, *, key: str = "") -> Reply:
        """Call a tool as one turn of a program."""
        headers = {"Lagoonfold-Turn": str(turn)}
        if key:
            headers["Idempotency-Key"] = key
        return self.send("POST", f"/v1/programs/{program_id}/tools/{route}", body, headers)

    def history(self, program_id: str) -> list[dict]:
        """Return the turns of a program."""
        return self.send("GET", f"/v1/programs/{program_id}/history").json()["turns"]

    def end(self, program_id: str) -> Reply:
        """End a program."""
        return self.send("POST", f"/v1/programs/{program_id}/end", {})

    def send(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one request to the next instance."""
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        all_headers = {"Authorization": f"Bearer {self._key}", **(headers or {})}
        data = None if body is None else json.dumps(body)
        if data is not None:
            all_headers["Content-Type"] = "application/json"
        connection = http.client.HTTPConnection(address, timeout=self._timeout_s)
        try:
            connection.request(method, path, data, all_headers)
            response = connection.getresponse()
            fields = {name.lower(): value for name, value in response.getheaders()}
            return Reply(status=response.status, headers=fields, body=response.read())
        finally:
            connection.close()
