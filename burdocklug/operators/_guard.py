"""Authentication of operators by a bearer token."""

import hmac

from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["bearer_guard"]


def bearer_guard(token):
    """Return a guard that refuses requests without `token` as their bearer token.

    Notes
    -----
    Tokens are compared in constant time, so that response times don't reveal how much matched.
    """
    expected = f"Bearer {token}".encode()

    def check(req):
        given = (req.header("Authorization") or "").encode("utf-8", "replace")
        if not hmac.compare_digest(given, expected):
            raise BurdocklugError(ErrorKind.UNAUTHORIZED, "the operator token is missing or wrong")

    return check
