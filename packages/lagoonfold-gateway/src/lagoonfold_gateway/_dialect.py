"""The names and formats of request headers and store entries in a deployment.

The gateway defines what each header and entry means, a `Dialect` its name and encoding.
`DEFAULT_DIALECT` is for deployments without one of their own.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from lagoonfold import decode_json
from lagoonfold.forwarding import ForwardConfig, Replica


@dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Holds the names of headers, in lower case.

    Only the system may set the headers in `reserved`, so they are not forwarded from a caller.
    """

    api_key: str = "x-api-key"
    request_id: str = "x-request-id"
    deadline_ms: str = "x-deadline-ms"
    program: str = "x-program-id"
    session_id: str = "x-line-id"
    program_deadline_ms: str = "x-program-deadline-ms"
    budget_tokens: str = "x-token-budget"
    token_counts: str = "x-tokens"
    prompt_parts: str = "x-prompt-parts"
    expected_tokens: str = "x-expected-tokens"
    last_event: str = "last-event-id"
    resumed_request: str = "x-resumes"
    previous_turn: str = "x-previous-turn"
    affinity: str = "x-affinity"
    account: str = "x-account"
    expected_replica: str = "x-expect-replica"
    urgency: str = "x-urgency"
    signature: str = "x-signature"
    not_run: str = "x-not-run"
    replica_load: str = "x-replica-load"
    replica_limit: str = "x-replica-limit"
    replica_leaving: str = "x-replica-leaving"
    replica_cold: str = "x-replica-cold"
    reserved: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class RetirementDialect:
    """Holds where the operator asks that a disk be emptied, and how that is answered.

    A request's key is `request_prefix` and the instance's name; its answer's key begins with
    `answer_prefix`. `encode_state` returns the answer, given whether the disk is empty.
    """

    request_prefix: str
    answer_prefix: str
    encode_state: Callable[[bool], bytes]


def _encode_default_state(is_complete: bool) -> bytes:
    return msgspec.json.encode({"state": "complete" if is_complete else "in-progress"})


DEFAULT_RETIREMENT = RetirementDialect(
    request_prefix="gateway/config/retire/",
    answer_prefix="gateway/retired/",
    encode_state=_encode_default_state,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Holds the names and decoders of one deployment; a decoder returns the reason of a failure.

    The operator's keys begin with `config_prefix`: the configuration's, and those that end with the
    name of a failure domain to evacuate, or of a machine to empty.
    """

    headers: HeaderNames
    config_key: str
    replica_prefix: str
    decode_config: Callable[[bytes], Result[ForwardConfig, str]]
    decode_replica: Callable[[str, bytes], Result[Replica, str]]
    config_prefix: str
    evacuation_prefix: str
    retirement: RetirementDialect


def _decode_default_config(data: bytes) -> Result[ForwardConfig, str]:
    return decode_json(data, ForwardConfig)


def _decode_default_replica(replica_id: str, data: bytes) -> Result[Replica, str]:
    decoded = decode_json(data, Replica)
    if isinstance(decoded, Ok) and decoded.ok_value.replica_id != replica_id:
        return Err(f"entry of {replica_id!r} names {decoded.ok_value.replica_id!r}")
    return decoded


DEFAULT_DIALECT = Dialect(
    headers=HeaderNames(),
    config_key="gateway/config",
    config_prefix="gateway/config",
    evacuation_prefix="gateway/config/evacuate/",
    replica_prefix="gateway/replicas/",
    decode_config=_decode_default_config,
    decode_replica=_decode_default_replica,
    retirement=DEFAULT_RETIREMENT,
)
