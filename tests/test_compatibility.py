"""Tests that encoded bytes and exposed names are the same as in earlier builds.

`compatibility.json` was recorded from the build before identifiers were renamed. Its keys are tags
and plain descriptions, not names from the code. Never edit a recording to make a test pass: other
instances, stored values and operators' scripts depend on the same bytes and names. Add a recording
for each new message or value, with every field at a value other than its default.
"""

import json
from collections.abc import Iterable
from typing import Any, get_args

import msgspec
import trio
import trio.testing

import lagoonfold_node._node  # noqa: F401, as it enters every message of the daemon
from lagoonfold import PROBLEM_TYPES_BY_KIND, forwarding, records, scheduling
from lagoonfold import config as configuration
from lagoonfold._compression import decompress
from lagoonfold.budgets import BudgetRecord
from lagoonfold.membership import decode_member, decode_table, encode_member, encode_table
from lagoonfold.resilience import PoisonNotice
from lagoonfold.settings import parse_settings as parse_daemon_settings
from lagoonfold_gateway import DEFAULT_DIALECT, parse_settings
from lagoonfold_gateway._messages import Envelope, Message
from lagoonfold_gateway._peer_link import FrameReader, encode_frame
from lagoonfold_gateway._registration import MemberEntry
from lagoonfold_gateway.histories._disk_controller import DiskEntry
from lagoonfold_gateway.storage import parse_storage_settings
from lagoonfold_node._execution._tool_call import ServiceRequest, encode_service_request
from lagoonfold_node._peers._messages import MESSAGE_TYPES_BY_TAG, Codec
from tests import _compatibility_names as names
from tests import _compatibility_values as values
from tests._run import ROOT
from tests._suite import load_functions

RECORDED = json.loads((ROOT / "tests" / "compatibility.json").read_text(encoding="utf-8"))
_MAX_BYTES = 1_000_000
_FRAME_HEAD_BYTES = 4  # the length of a frame between gateways


def _tag(message: object) -> str:
    """Return the tag with which a message or a change is encoded."""
    return str(message.__struct_config__.tag)


def _assert_covered(found: Iterable[str], recorded: Iterable[str], what: str) -> None:
    """Fail if the code has an item that is not recorded, or the reverse."""
    now, before = set(found), set(recorded)
    new, gone = now - before, before - now
    assert not new, f"{what} without a recording in compatibility.json: {sorted(new)}"
    assert not gone, f"{what} recorded by an earlier build and gone from the code: {sorted(gone)}"


def _assert_same(written: bytes, recorded: str, what: str) -> None:
    assert written.hex() == recorded, f"{what}\nwritten  {written!r}\nrecorded {recorded}"


def _assert_equal(found: object, recorded: object, what: str) -> None:
    assert found == recorded, f"{what}\nnow      {found}\nrecorded {recorded}"


def _assert_json(value_type: object, recorded: str, what: str) -> None:
    """Fail if a recorded JSON value changes when it is decoded and encoded."""
    value = msgspec.json.decode(recorded.encode(), type=value_type)
    assert msgspec.json.encode(value).decode() == recorded, what


def _known_before(now: Any, earlier: Any) -> Any:
    """Return a JSON value without the keys that an earlier one does not have."""
    if isinstance(now, dict) and isinstance(earlier, dict):
        return {key: _known_before(now.get(key), value) for key, value in earlier.items()}
    if isinstance(now, list) and isinstance(earlier, list) and len(now) == len(earlier):
        return [_known_before(*pair) for pair in zip(now, earlier, strict=True)]
    return now


def _assert_json_before(value_type: object, recorded: str, what: str) -> None:
    """Fail if an earlier JSON value cannot be decoded, or has other values when it is encoded."""
    value = msgspec.json.decode(recorded.encode(), type=value_type)
    earlier = json.loads(recorded)
    _assert_equal(_known_before(json.loads(msgspec.json.encode(value)), earlier), earlier, what)


def _first_fields(now: Any, earlier: Any) -> Any:
    """Return an encoded value with as many fields, at each depth, as an earlier one has."""
    if not isinstance(now, list) or not isinstance(earlier, list):
        return now
    return [_first_fields(*pair) for pair in zip(now, earlier, strict=False)]


def _read_frame(data: bytes) -> Envelope | None:
    """Return the envelope that a gateway reads from these bytes."""

    async def read() -> Envelope | None:
        near, far = trio.testing.memory_stream_pair()
        await near.send_all(data)
        await near.send_eof()
        return await FrameReader(far).read()

    return trio.run(read)


def test_gateway_messages() -> None:
    """Each message between gateways decodes from and encodes to its recorded frame."""
    recorded = RECORDED["gateway messages"]
    _assert_covered(map(_tag, get_args(Message)), recorded, "gateway messages")
    _assert_covered(map(_tag, values.GATEWAY_MESSAGES), recorded, "gateway messages")
    for message in values.GATEWAY_MESSAGES:
        envelope = Envelope(number=7, is_answer=True, message=message)
        _assert_same(encode_frame(envelope), recorded[_tag(message)], _tag(message))
        assert _read_frame(bytes.fromhex(recorded[_tag(message)])) == envelope, _tag(message)


def test_gateway_messages_before_fields_were_added() -> None:
    """Instances of two releases read each other's messages.

    A message that has gained fields is read without them, and an earlier build, which ignores what
    follows the fields that it knows, finds these where they were.
    """
    recorded = RECORDED["gateway messages before fields were added"]
    message_by_tag = {_tag(message): message for message in values.GATEWAY_MESSAGES}
    for tag, frames in recorded.items():
        for data in frames:
            earlier = msgspec.msgpack.decode(bytes.fromhex(data)[_FRAME_HEAD_BYTES:])[2]
            now = msgspec.msgpack.decode(msgspec.msgpack.encode(message_by_tag[tag]))
            _assert_equal(_first_fields(now, earlier), earlier, tag)
            read = _read_frame(bytes.fromhex(data))
            assert read is not None and type(read.message) is type(message_by_tag[tag]), tag
            again = msgspec.msgpack.decode(msgspec.msgpack.encode(read.message))
            _assert_equal(_first_fields(again, earlier), earlier, tag)


def test_daemon_messages() -> None:
    """Each message between daemons decodes from and encodes to its recorded frame."""
    recorded = RECORDED["daemon messages"]
    # Other tests register message types of their own in the same process.
    of_daemon = [
        tag
        for tag, message_type in MESSAGE_TYPES_BY_TAG.items()
        if message_type.__module__.startswith("lagoonfold_node.")
    ]
    _assert_covered(of_daemon, recorded, "daemon messages")
    codec = Codec()
    for tag, data in recorded.items():
        frame, message = codec.decode(bytes.fromhex(data))
        assert _tag(message) == tag
        # Constructed by name, since the frame's fields are encoded by position.
        body = codec.encode_body(message)
        made = msgspec.structs.replace(values.DAEMON_FRAME, body=body)
        _assert_same(codec.encode(made), data, tag)
        assert msgspec.structs.replace(frame, body=body) == made, tag
    plain = RECORDED["plain request of a tool call"]
    request = msgspec.msgpack.decode(bytes.fromhex(plain), type=ServiceRequest)
    _assert_same(encode_service_request(request), plain, "plain request")


def test_records_of_programs() -> None:
    """Journal entries, checkpoints and turns decode from and encode to their recorded bytes."""
    recorded = RECORDED["records"]
    tags = map(_tag, get_args(records.Record))
    _assert_covered(tags, map(_tag, values.JOURNAL_ENTRY.records), "journal records")
    for what, made, encode, decode in (
        ("journal entry", values.JOURNAL_ENTRY, records.encode_entry, records.decode_entry),
        (
            "records that travel",
            values.JOURNAL_ENTRY.records,
            records.encode_records,
            records.decode_records,
        ),
        (
            "checkpoint head",
            values.CHECKPOINT_HEAD,
            records.encode_checkpoint_head,
            records.decode_checkpoint_head,
        ),
        ("turn", values.TURN, records.encode_turn, records.decode_turn),
    ):
        _assert_same(encode(made), recorded[what], what)
        assert decode(bytes.fromhex(recorded[what])).unwrap() == made, what
    first = records.initial_history_digest(values.PROGRAM.program_id)
    _assert_same(first, recorded["first link"], "first link")
    _assert_same(
        records.extend_history_digest(first, values.TURN), recorded["next link"], "next link"
    )


def test_checkpoint_of_a_program() -> None:
    """A checkpoint of a program gives the recorded segment and state, and restores from them."""
    recorded = RECORDED["records"]
    shard = records.ProgramShard()
    shard.programs_by_id[values.PROGRAM.program_id] = values.PROGRAM
    plan = records.plan_checkpoint(shard, epoch=5, next_sequence=77, fence_sequences=(3, 9))
    segment, states = plan.values
    _assert_same(segment.data, recorded["segment of turns"], "segment of turns")
    _assert_same(states.data, recorded["program states"], "program states")
    assert segment.name == recorded["segment's name"]
    assert states.name == recorded["program states' name"]
    restored = records.restore_shard((bytes.fromhex(recorded["program states"]),)).unwrap()
    program = restored.programs_by_id[values.PROGRAM.program_id]
    *former, packed = program.segments
    assert tuple(former) == values.PROGRAM.segments
    read = records.read_turns(packed, bytes.fromhex(recorded["segment of turns"]))
    program.segments, program.recent_turns = tuple(former), list(read.unwrap())
    assert program == values.PROGRAM


def test_configuration_log() -> None:
    """Each value of the log, with every type of change, decodes from and encodes to its bytes."""
    recorded = RECORDED["configuration log"]
    stored = {what: bytes.fromhex(text) for what, text in recorded.items()}
    head = configuration.decode_config_head(stored["head"])
    changes = [_tag(record.change) for record in head.recent]
    _assert_covered(map(_tag, get_args(configuration.Change)), changes, "types of change")
    digest = recorded["snapshot's digest"]
    for what, value in (
        ("head", head),
        ("history segment", configuration.decode_change_segment(stored["history segment"])),
        ("snapshot", configuration.decode_snapshot(stored["snapshot"], digest)),
    ):
        _assert_same(configuration.encode_value(value), recorded[what], what)


def test_membership_and_gateway_entries() -> None:
    """The ownership table, members, budgets and notices decode and encode as recorded."""
    recorded = RECORDED["membership"]
    table, member = (bytes.fromhex(recorded[what]) for what in ("ownership table", "member"))
    assert decode_table(table).unwrap() == values.OWNERSHIP_TABLE
    # Builds of zlib compress differently, so the decompressed content is compared.
    written, content = (
        decompress(data, max_bytes=_MAX_BYTES).unwrap()
        for data in (encode_table(values.OWNERSHIP_TABLE), table)
    )
    _assert_same(written, content.hex(), "ownership table")
    assert decode_member(member).unwrap() == values.MEMBER
    _assert_same(encode_member(values.MEMBER), recorded["member"], "member")
    entries = RECORDED["gateway's store"]
    _assert_json(MemberEntry, entries["member"], "a gateway's entry")
    assert msgspec.json.encode(values.BUDGET_RECORD).decode() == entries["budget"]
    assert msgspec.json.decode(entries["budget"], type=BudgetRecord) == values.BUDGET_RECORD
    _assert_json(forwarding.ForwardConfig, entries["configuration"], "a gateway's configuration")
    _assert_json(forwarding.Replica, entries["replica"], "a replica's entry")
    for before in ("patience", "histories", "cold starts"):
        recorded = entries[f"configuration before {before}"]
        _assert_json_before(forwarding.ForwardConfig, recorded, f"configuration before {before}")
    _assert_json(DiskEntry, entries["disk"], "a disk's entry")
    _assert_json_before(DiskEntry, entries["disk before regions"], "a disk's entry")
    for before in ("versions", "cold starts"):
        recorded = entries[f"replica before {before}"]
        _assert_json_before(forwarding.Replica, recorded, f"replica before {before}")
    assert DEFAULT_DIALECT.decode_config(entries["configuration"].encode()).is_ok()
    assert DEFAULT_DIALECT.decode_replica("r1", entries["replica"].encode()).is_ok()
    _assert_json(tuple[PoisonNotice, ...], RECORDED["poison notices"], "poison notices")


def test_keys_of_stores() -> None:
    """The stores use the recorded keys."""
    _assert_equal(names.keys_of_stores(), RECORDED["store keys"], "store keys")
    assert records.is_journal_key(RECORDED["store keys"]["journal entry"])
    assert records.parse_sequence(RECORDED["store keys"]["journal entry"]) == 7


def _has_every_key(parsed: dict[str, Any], text: str) -> bool:
    """Return whether a settings file has exactly the keys of the parsed settings."""
    given = [line.partition("=")[0].strip() for line in text.splitlines() if "=" in line]
    return sorted(given) == sorted(key for section in parsed.values() for key in section)


def test_settings_files() -> None:
    """A file with every key, and the deployed template, give the recorded values."""
    recorded = RECORDED["settings"]
    daemon = parse_daemon_settings(recorded["daemon file"]).unwrap().model_dump(by_alias=True)
    gateway = msgspec.to_builtins(parse_settings(recorded["gateway file"]).unwrap())
    _assert_equal(daemon, recorded["daemon values"], "settings of a daemon")
    _assert_equal(gateway, recorded["gateway values"], "settings of a gateway")
    assert _has_every_key(daemon, recorded["daemon file"]), "a daemon's key is not recorded"
    assert _has_every_key(gateway, recorded["gateway file"]), "a gateway's key is not recorded"
    storage = msgspec.to_builtins(parse_storage_settings(recorded["storage file"]).unwrap())
    _assert_equal(storage, recorded["storage values"], "settings of a storage instance")
    assert _has_every_key(storage, recorded["storage file"]), "a storage key is not recorded"
    for role, parse in (("gateway", parse_settings), ("storage", parse_storage_settings)):
        template = (ROOT / "deploy" / f"{role}.ini").read_text(encoding="utf-8")
        for placeholder, value in recorded[f"{role} template"].items():
            assert placeholder in template, placeholder
            template = template.replace(placeholder, value)
        deployed = msgspec.to_builtins(parse(template).unwrap())
        _assert_equal(deployed, recorded[f"{role} template values"], f"deployed {role} settings")
    policies = (scheduling.QUEUE_DISCIPLINES_BY_NAME, scheduling.CHOOSERS_BY_NAME)
    found = [sorted(registry) for registry in (*policies, scheduling.ADMISSION_POLICIES_BY_NAME)]
    _assert_equal(found, recorded["names of policies"], "names of policies")


def test_metrics_pages() -> None:
    """The metrics pages have the recorded names, types and fixed reasons."""
    for program, recorded in RECORDED["metrics pages"].items():
        page = names.metrics_page(program).splitlines()
        _assert_covered(page, recorded, f"lines of the metrics page of the {program}")
        _assert_equal(page, recorded, f"metrics page of the {program}")


def test_command_lines() -> None:
    """The installed programs have the recorded names, commands and flags."""
    recorded = RECORDED["commands"]
    _assert_equal(names.installed_commands(), recorded["programs"], "installed programs")
    _assert_equal(names.flags_of_daemon(), recorded["daemon"], "flags of the daemon")
    found = names.flags_by_command()
    _assert_covered(found, recorded["lagoonfold"], "commands")
    _assert_equal(found, recorded["lagoonfold"], "flags of lagoonfold")
    common = recorded["lagoonfold"][""]
    for words, flags in recorded["lagoonfold"].items():
        line = [f"--{flag.rstrip('*')}=1" for flag in (*flags, *common) if flag != "..."]
        assert not words or names.is_understood([*words.split(), *line]), words


def test_error_kinds_and_other_values() -> None:
    """Each error kind has the recorded status and title; other enums have the recorded values."""
    kinds = {kind.value: [each.status, each.title] for kind, each in PROBLEM_TYPES_BY_KIND.items()}
    _assert_covered(kinds, RECORDED["error kinds"], "error kinds")
    _assert_equal(kinds, RECORDED["error kinds"], "error kinds")
    _assert_equal(names.values_of_lists(), RECORDED["closed lists"], "closed lists")


load_tests = load_functions(globals())
