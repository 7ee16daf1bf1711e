"""Strategies for requests, from valid ones to arbitrary bytes."""

import json

from hypothesis import strategies as st

_TEXT = st.text(st.characters(codec="latin-1", exclude_characters="\r\n\0"), max_size=40)
_PATHS = st.sampled_from(
    [
        "/",
        "/v1/programs",
        "/v1/programs/none",
        "/v1/programs/none/history",
        "/v1/programs/none/end",
        "/v1/programs/none/tools/register",
        "/v1/programs//tools/",
        "/v1/chat/completions",
        "/v1/services/lookup",
        "/v1/services/",
        "/v1/../v1/programs",
        "/v1/status",
        "/v1/orders",
        "/v1/explain/none",
        "/v1/owner/none",
        "/metrics?x=%00",
        "*",
        "http://other/v1/programs",
    ]
)
_METHODS = st.sampled_from(["GET", "POST", "DELETE", "PUT", "HEAD", "OPTIONS", "BREW", "get"])
_NUMBERS = st.sampled_from(
    ["1", "0", "-1", "1e9", "NaN", "inf", "99999999999999999999", "", "\xe9"]
)
_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=True)
    | st.sampled_from(["field", "small", "user", "x" * 100, "\ud800", "\0"]),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["profile", "parent", "budget", "model", "messages", "stream", "role"]),
        inner,
        max_size=4,
    ),
    max_leaves=8,
)


@st.composite
def _headers(draw: st.DrawFn, key: str) -> list[tuple[str, str]]:
    """Draw headers, in most cases with the valid key."""
    headers = [("Host", "x")] if draw(st.integers(0, 9)) else []
    if draw(st.integers(0, 4)):
        headers.append(("Authorization", f"Bearer {key}"))
    else:
        headers.append(("Authorization", draw(_TEXT)))
    for name in ("Lagoonfold-Program", "Idempotency-Key", "Lagoonfold-Request-Id"):
        if draw(st.booleans()):
            headers.append((name, draw(_TEXT)))
    for name in ("Lagoonfold-Turn", "Lagoonfold-Timeout"):
        if draw(st.booleans()):
            headers.append((name, draw(_NUMBERS)))
    return headers


_ORDER_FIELDS = {
    "upstream": ["engine-1", "tool-1", "none", "", "prg-1.2", 7, None],
    "kind": ["load-model", "load-adapter", "set-version", "set-role", "dance", "", 7],
    "name": ["small-2", "", "x" * 5_000, "\ud800", 7, None],
    "fencing": ["1:1"],
}


def orders() -> st.SearchStrategy[bytes]:
    """Return a strategy for order bodies: complete, with missing or extra fields, or arbitrary."""
    values = {name: st.sampled_from(choices) for name, choices in _ORDER_FIELDS.items()}
    names = ("upstream", "kind", "name")
    complete = st.fixed_dictionaries({name: values[name] for name in names})
    partial = st.fixed_dictionaries({}, optional=values)
    return (complete | partial | _JSON).map(lambda body: json.dumps(body).encode()) | st.binary(
        max_size=40
    )


@st.composite
def requests(draw: st.DrawFn, key: str) -> bytes:
    """Draw the bytes of a request; some are truncated or have up to two bytes changed."""
    body = draw(st.binary(max_size=60) | _JSON.map(lambda v: json.dumps(v).encode()))
    headers = draw(_headers(key))
    length = draw(st.sampled_from([str(len(body))] * 6 + ["-1", "x", str(len(body) + 5)]))
    headers.append(("Content-Length", length))
    lines = [f"{draw(_METHODS)} {draw(_PATHS)} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    data = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n" + body
    changes = draw(
        st.lists(st.tuples(st.integers(0, len(data) - 1), st.integers(0, 255)), max_size=2)
    )
    changed = bytearray(data)
    for position, value in changes:
        changed[position] = value
    return bytes(changed[: draw(st.just(len(data)) | st.integers(1, len(data)))])
