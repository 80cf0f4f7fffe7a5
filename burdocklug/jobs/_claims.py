"""Claims of caller keys in the platform's store.

A claim is created only if the store has none for the key, so at most one process ever owns it. Its
nonce lets the owner recognise its own write if the store's answer to the write was lost.
"""

import hashlib
import secrets

import msgspec

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.store import StoreUnavailable, StoreUncertain, VersionMismatch

__all__ = ["Claim", "Claims", "store_key"]

NONCE_BYTES = 8
MAX_WRITE_TRIES = 3
LEASE_REUSE_S = 60.0  # time for which new claims are written under the same lease
LEASE_MARGIN_S = 180.0  # covers clocks of hosts and callers that are each off by a minute
MAX_CACHED = 10_000  # maximum number of cached claims, and of pending nonces
PURPOSE = "claim"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Value of a claim: the owner's incarnation, the digest of the body, the writer's nonce."""

    owner: str
    digest: bytes
    nonce: bytes


def store_key(key_text):
    """Return the key in the store of the claim of a caller key.

    Examples
    --------
    >>> store_key("20261204T053000Z-vat-17").startswith("claims/")
    True
    """
    return "claims/" + hashlib.blake2b(key_text.encode(), digest_size=16).hexdigest()


class Claims:
    """Creates and reads claims on behalf of one process.

    Parameters
    ----------
    store : Store
        The platform's store.
    owner : str
        Incarnation of this process.
    window_s : float
        Minimum time that a claim has to be kept, in seconds.
    now : callable
        Returns the monotonic time, in seconds.
    """

    def __init__(self, store, owner, *, window_s, now):
        self._store = store
        self._owner = owner
        self._window_s = window_s
        self._now = now
        self._lease = None
        self._lease_until_s = 0.0
        self._pending_nonces = {}
        self._cached = {}

    def acquire(self, key_text, digest):
        """Claim a key unless it has been claimed.

        Parameters
        ----------
        key_text : str
            The caller key.
        digest : bytes
            Digest of the submission's body.

        Returns
        -------
        claim : Claim
            The claim in force.
        is_new : bool
            Whether this process created it. True at most once per key.

        Raises
        ------
        BurdocklugError
            Of kind ``claim_uncertain`` if the store does not confirm which claim is in force.
        """
        if key_text in self._cached:
            return self._cached[key_text], False
        key = store_key(key_text)
        nonce = self._pending_nonces.setdefault(key_text, secrets.token_bytes(NONCE_BYTES))
        _drop_oldest(self._pending_nonces)
        claim = Claim(self._owner, digest, nonce)
        for _ in range(MAX_WRITE_TRIES):
            try:
                found = self._create_claim(key, claim)
            except (StoreUncertain, StoreUnavailable) as exc:
                error = exc
                continue
            is_ours = found.nonce == nonce and found.owner == self._owner
            self._pending_nonces.pop(key_text, None)
            self._cache_claim(key_text, found)
            return found, is_ours
        raise BurdocklugError(
            ErrorKind.CLAIM_UNCERTAIN, f"claim of key {key_text} not confirmed: {error.message}"
        ) from error

    def read(self, key_text):
        """Return the claim of a key, or None if there is none.

        Raises
        ------
        BurdocklugError
            Of kind ``claim_uncertain`` if the store does not answer.
        """
        if key_text in self._cached:
            return self._cached[key_text]
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
            self._cache_claim(key_text, claim)
        return claim

    def _is_pending(self, key_text, claim):
        """Return whether this process wrote the claim but `acquire` has not returned it yet."""
        return claim.owner == self._owner and claim.nonce == self._pending_nonces.get(key_text)

    def _cache_claim(self, key_text, claim):
        """Cache a claim, which never changes, so that resubmissions need no store call."""
        self._cached[key_text] = claim
        _drop_oldest(self._cached)

    def _create_claim(self, key, claim):
        """Write a claim unless the key has one, and return the claim in force."""
        value = msgspec.msgpack.encode(claim)
        try:
            self._store.put(
                key, value, expected_version=0, lease_id=self._current_lease(), purpose=PURPOSE
            )
        except VersionMismatch as exc:
            if exc.current is None:
                raise StoreUncertain(
                    f"claim {key} prevented the write but no longer exists"
                ) from exc
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


def _drop_oldest(table):
    """Drop the oldest entries of a dict down to `MAX_CACHED`."""
    while len(table) > MAX_CACHED:
        del table[next(iter(table))]
