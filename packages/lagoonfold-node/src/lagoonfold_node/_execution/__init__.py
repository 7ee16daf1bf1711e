"""Perform the operations on programs at their owner, and make the programs' calls."""

from lagoonfold_node._execution import _calls, _model_call, _programs, _tool_call  # noqa: F401
from lagoonfold_node._execution._attempts import AttemptResult, RetryableCall, run_attempts
from lagoonfold_node._execution._executor import Executor, owner_changing_refusal
from lagoonfold_node._execution._operations import (
    OPERATION_HANDLERS_BY_TYPE,
    CreateProgram,
    EndProgram,
    ProgramOperation,
    ReadHistory,
    ReadProgram,
    RunCall,
)
from lagoonfold_node._execution._protocols import ExecutionShard, ShardLookup
from lagoonfold_node._execution._render import COMPLETION_TYPE
from lagoonfold_node._execution._sink import EVENT_STREAM_TYPE, JSON_TYPE, PeerSink, Sink
from lagoonfold_node._execution._tool_call import (
    ServiceRequest,
    encode_service_request,
    make_service_call,
)

__all__ = [
    "COMPLETION_TYPE",
    "EVENT_STREAM_TYPE",
    "JSON_TYPE",
    "OPERATION_HANDLERS_BY_TYPE",
    "CreateProgram",
    "EndProgram",
    "Executor",
    "ExecutionShard",
    "PeerSink",
    "ServiceRequest",
    "ProgramOperation",
    "ReadHistory",
    "ReadProgram",
    "RunCall",
    "ShardLookup",
    "Sink",
    "RetryableCall",
    "AttemptResult",
    "encode_service_request",
    "owner_changing_refusal",
    "run_attempts",
    "make_service_call",
]
