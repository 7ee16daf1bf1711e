"""The callers' HTTP API: forwards operations on programs and proxies calls to services."""

from lagoonfold_node._caller_api import _program_calls, _service_calls  # noqa: F401
from lagoonfold_node._caller_api._caller_api import CallerApi, CallerRequest
from lagoonfold_node._caller_api._keys import KeyAuthenticator
from lagoonfold_node._caller_api._operation_forwarder import OperationForwarder
from lagoonfold_node._caller_api._service_proxy import ServiceProxy

__all__ = ["CallerApi", "CallerRequest", "OperationForwarder", "KeyAuthenticator", "ServiceProxy"]
