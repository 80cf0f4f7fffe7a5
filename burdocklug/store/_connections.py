"""Pooled connections to one address of the store, replaced by age and after a timeout."""

import urllib3

__all__ = ["Connections"]

MAX_IDLE_CONNECTIONS = 8
MAX_AGE_S = 15.0  # a middlebox may drop the state of older connections


class Connections:
    """Connection pool that is replaced as a whole.

    Parameters
    ----------
    address : str
        Address of the store, ``IP:port``.

    Notes
    -----
    Calls in flight on a replaced pool finish normally; their connections are closed afterwards.
    """

    def __init__(self, address):
        self.address = address
        self._pool = None
        self._opened_s = 0.0

    def pool(self, now_s):
        """Return the pool for a call that starts at `now_s`."""
        if self._pool is None or now_s - self._opened_s >= MAX_AGE_S:
            self.retire(self._pool)
            host, _, port = self.address.rpartition(":")
            self._pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=MAX_IDLE_CONNECTIONS)
            self._opened_s = now_s
        return self._pool

    def retire(self, pool):
        """Close the idle connections of `pool` unless it has already been replaced."""
        if pool is not None and pool is self._pool:
            self._pool = None
            pool.close()

    def close(self):
        """Close all idle connections."""
        self.retire(self._pool)
