"""The callers' border: HTTP in, operations on programs and calls to services out."""

from lagoonfold_node._border import _program_calls, _service_calls  # noqa: F401
from lagoonfold_node._border._border import Border, Call
from lagoonfold_node._border._forward import Forwarder
from lagoonfold_node._border._keys import KeyGuard
from lagoonfold_node._border._plain_calls import PlainCalls

__all__ = ["Border", "Call", "Forwarder", "KeyGuard", "PlainCalls"]
