"""Fencing tokens of endpoints."""

import zlib

__all__ = ["holder_number", "make_token"]

# Number of different tokens in each millisecond of the endpoint's clock, so that processes that
# take over in the same millisecond have different ones.
TOKEN_HOLDERS = 64


def holder_number(incarnation):
    """Return the number of a process that distinguishes its tokens from those of most others.

    Examples
    --------
    >>> 0 <= holder_number("10.0.0.1:7~00000000000000ff0123abcd") < TOKEN_HOLDERS
    True
    """
    return zlib.crc32(incarnation.encode()) % TOKEN_HOLDERS


def make_token(started_ms, clock_ms, number):
    """Return a token above all those that were made earlier on the endpoint's clock.

    The clock starts anew with each incarnation of the endpoint, and late orders carry tokens of
    earlier ones, so the time of its start counts as well.

    Examples
    --------
    >>> make_token(1000, 5, 63) < make_token(1000, 6, 0) < make_token(1010, 0, 0)
    True
    """
    return (started_ms + clock_ms) * TOKEN_HOLDERS + number
