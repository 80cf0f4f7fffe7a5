"""Bearer token of the operators' listener."""

import hmac

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["bearer_guard"]


def bearer_guard(token):
    """Return a guard that refuses requests without the bearer `token`.

    Notes
    -----
    The comparison takes the same time wherever the tokens differ.
    """
    expected = f"Bearer {token}".encode()

    def check(req):
        given = (req.header("Authorization") or "").encode("utf-8", "replace")
        if not hmac.compare_digest(given, expected):
            raise BurdocklugError(ErrorKind.UNAUTHORIZED, "the operator token is missing or wrong")

    return check
