"""The owner's side of the path: operations on programs, and the calls that they make."""

from lagoonfold_node._execution import _calls, _model_call, _programs, _tool_call  # noqa: F401
from lagoonfold_node._execution._executor import Executor, not_owner
from lagoonfold_node._execution._operations import (
    PERFORMERS_BY_TYPE,
    CreateProgram,
    EndProgram,
    ProgramOperation,
    ReadHistory,
    ReadProgram,
    RunCall,
)
from lagoonfold_node._execution._ports import OpenShard, Shards
from lagoonfold_node._execution._render import COMPLETION
from lagoonfold_node._execution._sink import EVENT_STREAM, JSON, PeerSink, Sink
from lagoonfold_node._execution._tool_call import (
    PlainRequest,
    encode_plain_request,
    service_call,
)
from lagoonfold_node._execution._tries import Task, Tried, run_tries

__all__ = [
    "COMPLETION",
    "EVENT_STREAM",
    "JSON",
    "PERFORMERS_BY_TYPE",
    "CreateProgram",
    "EndProgram",
    "Executor",
    "OpenShard",
    "PeerSink",
    "PlainRequest",
    "ProgramOperation",
    "ReadHistory",
    "ReadProgram",
    "RunCall",
    "Shards",
    "Sink",
    "Task",
    "Tried",
    "encode_plain_request",
    "not_owner",
    "run_tries",
    "service_call",
]
