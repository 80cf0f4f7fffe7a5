"""Incarnation ids, which identify one start of a process and contain its listen address."""

import functools
import re
import secrets
import time

__all__ = ["SHORT_CHARS", "address_of", "mint_incarnation", "short_form", "started_ns"]

SHORT_CHARS = 16

_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}:\d{1,5})~([0-9a-f]{16})([0-9a-f]{8})")
_CACHED_IDS = 4096
_MAX_PORT = 65_535


def mint_incarnation(address, *, start_ns=None):
    """Return a new incarnation id for a process that listens on `address`.

    Parameters
    ----------
    address : str
        ``IP:port``.
    start_ns : int, optional
        Start of the process in nanoseconds since the epoch; now by default.

    Examples
    --------
    >>> mint_incarnation("127.0.0.1:7000", start_ns=255)[:31]
    '127.0.0.1:7000~00000000000000ff'
    """
    start_ns = time.time_ns() if start_ns is None else start_ns
    return f"{address}~{start_ns:016x}{secrets.token_hex(4)}"


@functools.lru_cache(_CACHED_IDS)
def address_of(incarnation):
    """Return the address in an incarnation id, or None if the id is malformed.

    Examples
    --------
    >>> address_of("127.0.0.1:7000~00000000000000ff0123abcd")
    '127.0.0.1:7000'
    >>> address_of("nobody") is None, address_of("127.0.0.1:70000~00000000000000ff0123abcd") is None
    (True, True)
    """
    match = _PATTERN.fullmatch(incarnation)
    if match is None:
        return None
    host, _, port = match[1].partition(":")
    is_valid = int(port) <= _MAX_PORT and all(int(part) < 256 for part in host.split("."))
    return match[1] if is_valid else None


def short_form(incarnation):
    """Return the end of an incarnation id, which is enough for peers that have the whole id.

    Examples
    --------
    >>> short_form("127.0.0.1:7000~00000000000000ff0123abcd")
    '000000ff0123abcd'
    """
    return incarnation[-SHORT_CHARS:]


def started_ns(incarnation):
    """Return the start time in an incarnation id, in nanoseconds since the epoch.

    Raises
    ------
    ValueError
        If the id is malformed.

    Examples
    --------
    >>> started_ns("127.0.0.1:7000~00000000000000ff0123abcd")
    255
    """
    match = _PATTERN.fullmatch(incarnation)
    if match is None:
        raise ValueError(f"malformed incarnation id {incarnation!r}")
    return int(match[2], 16)
