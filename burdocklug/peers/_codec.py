"""Frames between peers: envelopes of items in MessagePack behind a keyed digest.

A frame is the digest followed by the encoded envelope. An envelope carries every item that was
queued for one peer in one turn of the loop.
"""

import collections
import enum
import hashlib
import hmac
import typing

import msgspec

__all__ = [
    "Ask",
    "Envelope",
    "FrameError",
    "FrameCodec",
    "MAX_FRAME_BYTES",
    "MAX_MESSAGE_BYTES",
    "MessageTypes",
    "Misdirected",
    "Notice",
    "Refusal",
    "RefusalReason",
    "Reply",
    "Request",
]

DIGEST_BYTES = 16
MAX_KEY_BYTES = 64  # blake2b takes no longer key
MAX_MESSAGE_BYTES = 16_000_000
MAX_FRAME_BYTES = MAX_MESSAGE_BYTES + 65_536  # room for the envelope and small items beside
PROTOCOL = b"burdocklug-peer1"


class RefusalReason(enum.IntEnum):
    """Why a request has no reply now, as carried in `Refusal`."""

    EXPIRED = 2
    NOT_SEEN = 3
    IN_PROGRESS = 4
    REPLY_LOST = 5
    NO_HANDLER = 6
    HANDLER_FAILED = 7


class Notice(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """A one-way message."""

    body: msgspec.Raw


class Request(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A message that wants a reply; `copy` counts the times that it was sent.

    `expires_s` is a time of the sender's clock.
    """

    correlation: int
    copy: int
    expires_s: float
    body: msgspec.Raw


class Reply(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """The reply to the request with the same correlation id; an empty body stands for None."""

    correlation: int
    body: bytes


class Refusal(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Tells that a request has no reply now; `copy` is that of the refused request."""

    correlation: int
    copy: int
    reason: RefusalReason
    detail: str = ""


class Ask(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Asks for the replies to requests that were sent earlier."""

    correlations: list[int]


class Misdirected(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Tells that a request to the incarnation `target` came to another one and was not handled."""

    target: str
    correlation: int
    copy: int


Item = Notice | Request | Reply | Refusal | Ask | Misdirected


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What surrounds the items of one frame.

    Parameters
    ----------
    sender, target : str
        Incarnation ids; the target is empty in a message to a seed address. Between peers that
        know each other, frames without requests and questions have the short forms.
    name, failure_domain : str
        Of the sender; empty beside the short forms.
    sequence : int
        Number of this frame from sender to target, from 1.
    sent_s : float
        Monotonic time of the sender.
    seen : int
        Highest sequence that the sender has had from the target.
    low_water : int
        Every correlation id of the sender below it needs no reply any more.
    items : list
        Messages in the order in which they were queued.
    """

    sender: str
    target: str
    name: str
    failure_domain: str
    sequence: int
    sent_s: float
    seen: int
    low_water: int
    items: list[Item]


class FrameError(ValueError):
    """A frame that is not authentic (`authentic` False) or not decodable."""

    def __init__(self, reason, *, authentic):
        super().__init__(reason)
        self.authentic = authentic


class FrameCodec:
    """Seals envelopes into frames and opens frames.

    Parameters
    ----------
    shared_key : str
        Secret of the fleet.

    Examples
    --------
    >>> codec = FrameCodec("0123456789abcdef")
    >>> envelope = Envelope("a", "b", "n", "d", 1, 0.0, 0, 0, [Ask([7])])
    >>> codec.open(codec.seal(envelope)) == envelope
    True
    """

    def __init__(self, shared_key):
        key = shared_key.encode()
        if len(key) > MAX_KEY_BYTES:
            key = hashlib.blake2b(key).digest()
        self._keyed = hashlib.blake2b(key=key, digest_size=DIGEST_BYTES, person=PROTOCOL)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def _digest(self, payload):
        digest = self._keyed.copy()
        digest.update(payload)
        return digest.digest()

    def seal(self, envelope):
        """Return the frame of an envelope."""
        payload = self._encoder.encode(envelope)
        return self._digest(payload) + payload

    def open(self, frame):
        """Return the envelope of a frame.

        Raises
        ------
        FrameError
            If the digest is wrong or the payload is malformed.
        """
        payload = memoryview(frame)[DIGEST_BYTES:]
        if not hmac.compare_digest(self._digest(payload), frame[:DIGEST_BYTES]):
            raise FrameError("wrong digest", authentic=False)
        try:
            return self._decoder.decode(payload)
        except msgspec.DecodeError as exc:
            raise FrameError(str(exc), authentic=True) from exc


class MessageTypes:
    """The registered message types, told apart by their tags.

    Examples
    --------
    >>> class Ping(msgspec.Struct, tag="ping"):
    ...     number: int
    >>> types = MessageTypes()
    >>> types.add(Ping)
    >>> types.decode(types.encode(Ping(3)))
    Ping(number=3)
    """

    def __init__(self):
        self._types = []
        self.encoded = collections.Counter()  # messages by tag
        self._decoder = None
        self._encoder = msgspec.msgpack.Encoder()

    def add(self, message_type):
        """Make a type known.

        Raises
        ------
        TypeError
            If it is no tagged msgspec Struct or its tag is taken.
        """
        if message_type in self._types:
            return
        if message_type.__struct_config__.tag is None:
            raise TypeError(f"message type {message_type.__name__} has no tag")
        types = [*self._types, message_type]
        self._decoder = msgspec.msgpack.Decoder(typing.Union[tuple(types)])  # noqa: UP007
        self._types = types

    def knows(self, message_type):
        """Return whether the type is registered."""
        return message_type in self._types

    def encode(self, message):
        """Return the encoded message.

        Raises
        ------
        TypeError
            If its type is not registered.
        """
        if type(message) not in self._types:
            raise TypeError(f"message type {type(message).__name__} is not registered")
        self.encoded[type(message).__struct_config__.tag] += 1
        return self._encoder.encode(message)

    def decode(self, body):
        """Return the message of an encoded body.

        Raises
        ------
        msgspec.DecodeError
            If it is malformed or of an unknown type.
        """
        if self._decoder is None:
            raise msgspec.DecodeError("no message type is registered")
        return self._decoder.decode(body)
