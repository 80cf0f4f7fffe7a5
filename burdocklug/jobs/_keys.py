"""Idempotency keys of submissions.

A session key ``<incarnation>~<session>~<sequence>`` contains the process incarnation that opened
the session; only that incarnation, or the successor that it handed its ledger to, may start the
job. A caller key ``<UTC time>-<text>`` is chosen by the caller; its owner is decided by a claim in
the platform's store, and its time limits how long the claim has to be kept.
"""

import datetime
import re
import secrets
from dataclasses import dataclass

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["CallerKey", "SessionKey", "mint_session", "parse_key"]

SESSION_ID_BYTES = 6
SEQUENCE_MAX = 2**53 - 1  # largest integer that every JSON parser keeps exact

_INCARNATION = r"\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}~[0-9a-f]{8,40}"
_SESSION_KEY = re.compile(
    rf"(?P<owner>{_INCARNATION})~(?P<session>[0-9a-f]{{12}})~(?P<seq>\d+)", re.ASCII
)
_CALLER_KEY = re.compile(r"(?P<time>\d{8}T\d{6}Z)-[A-Za-z0-9_.-]{1,64}", re.ASCII)
_TIME_FORMAT = "%Y%m%dT%H%M%SZ"


@dataclass(frozen=True, slots=True)
class SessionKey:
    """Key of a submission in a session; `owner` is the incarnation that opened the session."""

    owner: str
    session: str
    sequence: int

    @property
    def text(self):
        """The key as sent by callers."""
        return f"{self.session}~{self.sequence}"


@dataclass(frozen=True, slots=True)
class CallerKey:
    """Key chosen by a caller; `time_s` is the time in it, in seconds since 1970."""

    text: str
    time_s: float


def mint_session(incarnation):
    """Return a new random session id owned by `incarnation`.

    Examples
    --------
    >>> mint_session("127.0.0.1:8003~18f2a3b4c5d6e7f8").startswith("127.0.0.1:8003~18f2")
    True
    """
    return f"{incarnation}~{secrets.token_hex(SESSION_ID_BYTES)}"


def parse_key(text):
    """Parse an idempotency key.

    Parameters
    ----------
    text : str
        The value of the Idempotency-Key header.

    Returns
    -------
    SessionKey or CallerKey
        The parsed key.

    Raises
    ------
    BurdocklugError
        Of kind ``bad_request`` if the text has neither form.

    Examples
    --------
    >>> parse_key("127.0.0.1:8003~18f2a3b4c5d6~00aa11bb22cc~7").sequence
    7
    >>> parse_key("20261204T053000Z-vat-17").text
    '20261204T053000Z-vat-17'
    """
    if match := _SESSION_KEY.fullmatch(text):
        sequence = int(match["seq"])
        if 1 <= sequence <= SEQUENCE_MAX:
            owner = match["owner"]
            return SessionKey(owner, f"{owner}~{match['session']}", sequence)
    elif match := _CALLER_KEY.fullmatch(text):
        try:
            time = datetime.datetime.strptime(match["time"], _TIME_FORMAT)
        except ValueError:
            time = None
        if time is not None:
            return CallerKey(text, time.replace(tzinfo=datetime.UTC).timestamp())
    raise BurdocklugError(
        ErrorKind.BAD_REQUEST,
        f"{text[:80]!r} is neither a session key nor a caller key",
        path="header Idempotency-Key",
    )
