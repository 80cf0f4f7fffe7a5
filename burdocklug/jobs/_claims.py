"""Claims of caller keys in the platform's store.

A claim is created only where the key is absent, so at most one process ever wins it. Its nonce
lets the winner recognise its own write where the store's answer was lost.
"""

import hashlib
import secrets

import msgspec

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.store import StoreUnavailable, StoreUncertain, VersionMismatch

__all__ = ["Claim", "Claims", "store_key"]

NONCE_BYTES = 8
CLAIM_TRIES = 3
LEASE_REUSE_S = 60.0  # one lease serves all claims of this time
LEASE_MARGIN_S = 180.0  # clocks of hosts and callers that differ by a minute each
MAX_KEPT = 10_000  # claims and pending nonces, each
PURPOSE = "claim"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Value of a claim: the owner's incarnation, the digest of the body, the writer's nonce."""

    owner: str
    digest: bytes
    nonce: bytes


def store_key(key_text):
    """Return the store's key for the claim of a caller key.

    Examples
    --------
    >>> store_key("20261204T053000Z-vat-17").startswith("claims/")
    True
    """
    return "claims/" + hashlib.blake2b(key_text.encode(), digest_size=16).hexdigest()


class Claims:
    """Wins claims for one process.

    Parameters
    ----------
    store : Store
        The platform's store.
    owner : str
        This process's incarnation.
    window_s : float
        How long a claim has to last, in seconds.
    now : callable
        Monotonic seconds.
    """

    def __init__(self, store, owner, *, window_s, now):
        self._store = store
        self._owner = owner
        self._window_s = window_s
        self._now = now
        self._lease = None
        self._lease_until_s = 0.0
        self._nonces = {}
        self._known = {}

    def win(self, key_text, digest):
        """Return the claim in force for a key, and whether this process wrote it.

        Raises
        ------
        BurdocklugError
            Of kind ``claim_uncertain`` where the store does not say which claim is in force.
        """
        if key_text in self._known:
            return self._known[key_text], False
        key = store_key(key_text)
        nonce = self._nonces.setdefault(key_text, secrets.token_bytes(NONCE_BYTES))
        _bound(self._nonces)
        claim = Claim(self._owner, digest, nonce)
        for _ in range(CLAIM_TRIES):
            try:
                found = self._try_write(key, claim)
            except (StoreUncertain, StoreUnavailable) as exc:
                fault = exc
                continue
            ours = found.nonce == nonce and found.owner == self._owner
            self._nonces.pop(key_text, None)
            self._remember(key_text, found)
            return found, ours
        raise BurdocklugError(
            ErrorKind.CLAIM_UNCERTAIN, f"claim of key {key_text} not decided: {fault.message}"
        ) from fault

    def read(self, key_text):
        """Return the claim of a key, or None where there is none.

        Raises
        ------
        BurdocklugError
            Of kind ``claim_uncertain`` where the store does not answer.
        """
        if key_text in self._known:
            return self._known[key_text]
        try:
            entry = self._store.get(store_key(key_text), purpose=PURPOSE)
        except StoreUnavailable as exc:
            raise BurdocklugError(
                ErrorKind.CLAIM_UNCERTAIN, f"claim of key {key_text} not read: {exc.message}"
            ) from exc
        if entry is None:
            return None
        claim = msgspec.msgpack.decode(entry.value, type=Claim)
        if not self._is_pending(key_text, claim):
            self._remember(key_text, claim)
        return claim

    def _is_pending(self, key_text, claim):
        """Return whether a claim is an own write that `win` has not reported yet."""
        return claim.owner == self._owner and claim.nonce == self._nonces.get(key_text)

    def _remember(self, key_text, claim):
        """Keep a claim, which never changes, so that resubmissions cost no call."""
        self._known[key_text] = claim
        _bound(self._known)

    def _try_write(self, key, claim):
        value = msgspec.msgpack.encode(claim)
        try:
            self._store.put(
                key, value, expected_version=0, lease_id=self._current_lease(), purpose=PURPOSE
            )
        except VersionMismatch as exc:
            if exc.current is None:
                raise StoreUncertain(f"claim {key} vanished") from exc
            return msgspec.msgpack.decode(exc.current.value, type=Claim)
        return claim

    def _current_lease(self):
        now = self._now()
        if now >= self._lease_until_s:
            self._lease = self._store.grant_lease(
                self._window_s + LEASE_REUSE_S + LEASE_MARGIN_S, purpose=PURPOSE
            )
            self._lease_until_s = now + LEASE_REUSE_S
        return self._lease


def _bound(table):
    """Drop the oldest entries of a dict over the bound."""
    while len(table) > MAX_KEPT:
        del table[next(iter(table))]
