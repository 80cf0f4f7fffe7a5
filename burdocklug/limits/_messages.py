"""Messages between processes that lend each other shares of a team's quota."""

import msgspec

__all__ = ["QuotaGrant", "QuotaMessage", "QuotaRequest", "QuotaReturn"]


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="quota_request"):
    """Asks a peer to lend up to `amount` of its share of a team's quota."""

    team: str
    request_id: int  # unique within the borrower's incarnation
    amount: int
    sent_s: float  # by the borrower's clock; the grant echoes it


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True, tag="quota_grant"):
    """Reply to a request; an amount of zero means that the peer has none to lend."""

    team: str
    request_id: int
    amount: int
    sent_s: float
    term_s: float  # time from `sent_s` during which tasks may start on the loan


class QuotaReturn(msgspec.Struct, frozen=True, array_like=True, tag="quota_return"):
    """Ends a loan early: nothing of it is in use any more."""

    team: str
    request_id: int


QuotaMessage = QuotaRequest | QuotaGrant | QuotaReturn
