"""Who a request comes from: the key's digest looked up in the configuration.

Only the digest of a key is kept beyond the header. A key that was withdrawn, or that can't be
vouched for since the configuration was last verified too long ago, lets nothing through.
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
    """The client account for which a request runs, and the key that vouches for it."""

    account_id: AccountId
    digest: KeyDigest
    key: ApiKey


class TrackedRequest:
    """A running request of a keyed caller, with the scope that ends it."""

    __slots__ = ("caller", "cut", "scope")

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self.scope = trio.CancelScope()
        self.cut: Refusal | None = None

    def end(self, refusal: Refusal) -> None:
        """Cancel the request for a reason that its caller is told."""
        self.cut = refusal
        self.scope.cancel()


class KeyAuthenticator:
    """Checks keys on arrival, and ends running requests whose key is no longer good.

    Reads the cell `config`; writes none. `max_config_age_s` is how old the last verification may
    be.
    """

    def __init__(self, config: Cell[ConfigView], max_config_age_s: float) -> None:
        self._config = config
        self._max_config_age_s = max_config_age_s
        self._tracked_by_digest: dict[KeyDigest, set[TrackedRequest]] = defaultdict(set)

    def identify(self, request: HttpRequest) -> Result[Caller, Refusal]:
        """Return the caller that a request's key belongs to."""
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
        """Tell whether the configuration is too old to vouch for any key."""
        return self._config.read().is_stale(trio.current_time(), self._max_config_age_s)

    def check(self, digest: KeyDigest) -> Refusal | None:
        """Return why a key is not good now, or None if it is."""
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
        """Watch over a running request."""
        self._tracked_by_digest[tracked.caller.digest].add(tracked)

    def untrack(self, tracked: TrackedRequest) -> None:
        """End the watch over a request."""
        tracked_by_key = self._tracked_by_digest[tracked.caller.digest]
        tracked_by_key.discard(tracked)
        if not tracked_by_key:
            del self._tracked_by_digest[tracked.caller.digest]

    async def run(self) -> None:
        """End requests as their keys go bad, until cancelled."""
        unsubscribe = self._config.subscribe(lambda view: self.sweep())
        try:
            while True:
                await trio.sleep(STALE_CHECK_INTERVAL_S)
                self.sweep()
        finally:
            unsubscribe()

    def sweep(self) -> None:
        """End the running requests whose key is no longer good."""
        for digest, tracked_by_key in tuple(self._tracked_by_digest.items()):
            refusal = self.check(digest)
            if refusal is not None:
                for tracked in tuple(tracked_by_key):
                    tracked.end(refusal)


def _digest_of_header(value: str | None) -> KeyDigest | None:
    scheme, _, secret = (value or "").partition(" ")
    if scheme.lower() != _SCHEME or not secret.strip():
        return None
    return digest_of_key(secret.strip())
