"""The attempts of a forwarded request at replicas, from the selected one to the caller's answer."""

from lagoonfold_gateway.attempts._attempt_runner import AttemptRunner

__all__ = ["AttemptRunner"]
