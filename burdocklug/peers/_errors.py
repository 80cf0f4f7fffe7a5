"""Errors of calls between peers, which differ in whether the message may have arrived."""

from burdocklug.kernel import BurdocklugError, ErrorKind, Ran

__all__ = ["MessageTooLarge", "PeerUnreachable", "PeerOutcomeUnknown"]


class PeerUnreachable(BurdocklugError):
    """The message was certainly not delivered to the incarnation that it was addressed to.

    Parameters
    ----------
    incarnation : str
        The incarnation that was called.
    reason : str
        Why the message was not delivered.
    """

    def __init__(self, incarnation, reason, *, kind=ErrorKind.PEER_UNREACHABLE):
        message = f"peer {incarnation!r} was not reached: {reason}"
        super().__init__(kind, message, ran=Ran.NO)
        self.incarnation = incarnation
        self.reason = reason


class MessageTooLarge(PeerUnreachable):
    """The encoded message exceeds the size limit; it was not sent."""

    def __init__(self, incarnation, size, limit):
        reason = f"message of {size} bytes is over the limit of {limit} bytes"
        super().__init__(incarnation, reason, kind=ErrorKind.BODY_TOO_LARGE)


class PeerOutcomeUnknown(BurdocklugError):
    """The message may have been delivered; its outcome is unknown.

    Parameters
    ----------
    incarnation : str
        The incarnation that was called.
    reason : str
        Why the outcome is unknown.
    """

    def __init__(self, incarnation, reason):
        message = f"peer {incarnation!r} gave no reply: {reason}"
        super().__init__(ErrorKind.PEER_UNREACHABLE, message, ran=Ran.UNKNOWN)
        self.incarnation = incarnation
        self.reason = reason
