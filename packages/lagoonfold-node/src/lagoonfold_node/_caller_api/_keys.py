"""Authentication of callers by the digest of their API key.

Only the digest of a key is kept, never the key itself. Requests are refused if their key was
withdrawn, or if the configuration was last verified too long ago to rule out a withdrawal.
"""

from collections import defaultdict
from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from lagoonfold import AccountId, Cell, ErrorKind, KeyDigest, Refusal
from lagoonfold.config import ApiKey, ConfigView, digest_of_key
from lagoonfold_io import HttpRequest

STALE_CHECK_INTERVAL_S = 0.25
STALE_RETRY_AFTER_S = 2.0

_SCHEME = "bearer"


@dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """The client account for which a request runs, and the key that authenticated it."""

    account_id: AccountId
    digest: KeyDigest
    key: ApiKey


class TrackedRequest:
    """An authenticated request in progress, with the scope that cancels it."""

    __slots__ = ("cancel_refusal", "caller", "scope")

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.scope = trio.CancelScope()
        self.cancel_refusal: Refusal | None = None

    def cancel(self, refusal: Refusal) -> None:
        """Cancel the request; its caller gets the refusal."""
        self.cancel_refusal = refusal
        self.scope.cancel()


class KeyAuthenticator:
    """Authenticates requests, and cancels those in progress whose key becomes invalid.

    Reads the cell `config`; writes none. Keys are valid for at most `max_config_age_s` after the
    configuration was last verified.
    """

    def __init__(self, config: Cell[ConfigView], max_config_age_s: float) -> None:
        self._config = config
        self._max_config_age_s = max_config_age_s
        self._tracked_by_digest: dict[KeyDigest, set[TrackedRequest]] = defaultdict(set)

    def identify(self, request: HttpRequest) -> Result[Caller, Refusal]:
        """Return the caller to whom a request's key belongs."""
        digest = _digest_of_header(request.header("authorization"))
        if digest is None:
            detail = "a header 'Authorization: Bearer <key>' is required"
            return Err(Refusal(kind=ErrorKind.UNAUTHENTICATED, detail=detail))
        refusal = self.check(digest)
        if refusal is not None:
            return Err(refusal)
        key = self._config.read().configuration.keys_by_digest[digest]
        return Ok(Caller(account_id=key.account_id, digest=digest, key=key))

    def is_stale(self) -> bool:
        """Return whether the configuration was verified too long ago to accept any key."""
        return self._config.read().is_stale(trio.current_time(), self._max_config_age_s)

    def check(self, digest: KeyDigest) -> Refusal | None:
        """Return a refusal if a key is not valid now, or None if it is."""
        view = self._config.read()
        if self.is_stale():
            detail = f"the configuration was not verified for {self._max_config_age_s:g} s"
            return Refusal(
                kind=ErrorKind.CONFIG_STALE, detail=detail, retry_after_s=STALE_RETRY_AFTER_S
            )
        key = view.configuration.keys_by_digest.get(digest)
        if key is None:
            return Refusal(kind=ErrorKind.UNAUTHENTICATED, detail="the key is not known")
        if key.is_withdrawn():
            return Refusal(kind=ErrorKind.KEY_WITHDRAWN, detail="the key was withdrawn")
        if key.account_id not in view.configuration.accounts_by_id:
            return Refusal(kind=ErrorKind.KEY_WITHDRAWN, detail="the client account was retired")
        return None

    def track(self, tracked: TrackedRequest) -> None:
        """Start to cancel a request when its key becomes invalid."""
        self._tracked_by_digest[tracked.caller.digest].add(tracked)

    def untrack(self, tracked: TrackedRequest) -> None:
        """Stop tracking a request."""
        tracked_requests = self._tracked_by_digest[tracked.caller.digest]
        tracked_requests.discard(tracked)
        if not tracked_requests:
            del self._tracked_by_digest[tracked.caller.digest]

    async def run(self) -> None:
        """Cancel requests as their keys become invalid, until cancelled."""
        unsubscribe = self._config.subscribe(lambda view: self.cancel_invalid())
        try:
            while True:
                await trio.sleep(STALE_CHECK_INTERVAL_S)
                self.cancel_invalid()
        finally:
            unsubscribe()

    def cancel_invalid(self) -> None:
        """Cancel the tracked requests whose key is not valid."""
        for digest, tracked_requests in tuple(self._tracked_by_digest.items()):
            refusal = self.check(digest)
            if refusal is not None:
                for tracked in tuple(tracked_requests):
                    tracked.cancel(refusal)


def _digest_of_header(value: str | None) -> KeyDigest | None:
    scheme, _, secret = (value or "").partition(" ")
    if scheme.lower() != _SCHEME or not secret.strip():
        return None
    return digest_of_key(secret.strip())
