"""Frames between peers: a keyed digest followed by an envelope of items in MessagePack.

Items that were queued for a peer in the same iteration of the event loop share an envelope, up to
the size limit of a batch.
"""

import collections
import enum
import hashlib
import hmac
import typing

import msgspec

__all__ = [
    "StatusQuery",
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
MAX_KEY_BYTES = 64  # longest key of blake2b
MAX_MESSAGE_BYTES = 16_000_000
MAX_FRAME_BYTES = MAX_MESSAGE_BYTES + 65_536  # a full message, the envelope and small items
PROTOCOL = b"burdocklug-peer1"


class RefusalReason(enum.IntEnum):
    """Reason in a `Refusal` why there is no reply to a request now."""

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
    """A message that expects a reply; `copy` numbers the copies sent, from 1.

    `expires_s` is a time on the sender's clock.
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
    """Tells the sender of a request why there is no reply to it, by `reason`.

    `copy` is that of the request, or 0 in answer to a status query.
    """

    correlation: int
    copy: int
    reason: RefusalReason
    detail: str = ""


class StatusQuery(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Asks for the replies to, or the state of, requests that were sent earlier."""

    correlations: list[int]


class Misdirected(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Reports that a request to the incarnation `target` reached another one, unhandled.

    `copy` is that of the request, or 0 in answer to a status query.
    """

    target: str
    correlation: int
    copy: int


Item = Notice | Request | Reply | Refusal | StatusQuery | Misdirected


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Header and items of a frame.

    Parameters
    ----------
    sender, target : str
        Incarnation ids. The target is empty in a message to a seed address. Once the target has
        acknowledged a frame of the connection, frames without requests and status queries carry
        short forms of both ids.
    name, failure_domain : str
        Name and failure domain of the sender; empty in frames with short forms.
    sequence : int
        Number of this frame from sender to target, from 1.
    sent_s : float
        Time of sending on the sender's monotonic clock.
    acknowledged_sequence : int
        Highest sequence that the sender has received from the target.
    low_water : int
        Lowest correlation id of the sender that may still wait for a reply.
    items : list
        Items in the order in which they were queued.
    """

    sender: str
    target: str
    name: str
    failure_domain: str
    sequence: int
    sent_s: float
    acknowledged_sequence: int
    low_water: int
    items: list[Item]


class FrameError(ValueError):
    """A frame whose digest is wrong (`authentic` False) or whose payload is not decodable."""

    def __init__(self, reason, *, authentic):
        super().__init__(reason)
        self.authentic = authentic


class FrameCodec:
    """Encodes and authenticates envelopes as frames, and verifies and decodes frames.

    Parameters
    ----------
    shared_key : str
        Secret shared by the processes of the fleet.

    Examples
    --------
    >>> codec = FrameCodec("0123456789abcdef")
    >>> envelope = Envelope("a", "b", "n", "d", 1, 0.0, 0, 0, [StatusQuery([7])])
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
        """Return an envelope encoded as a frame."""
        payload = self._encoder.encode(envelope)
        return self._digest(payload) + payload

    def open(self, frame):
        """Verify a frame and return its envelope.

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
    """Registry and codec of the message types, which are identified by their tags.

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
        self.encoded = collections.Counter()  # messages encoded, by tag
        self._decoder = None
        self._encoder = msgspec.msgpack.Encoder()

    def add(self, message_type):
        """Register a message type.

        Raises
        ------
        TypeError
            If it is not a msgspec Struct with a tag, or its tag is already registered.
        """
        if message_type in self._types:
            return
        if message_type.__struct_config__.tag is None:
            raise TypeError(f"message type {message_type.__name__} has no tag")
        types = [*self._types, message_type]
        self._decoder = msgspec.msgpack.Decoder(typing.Union[tuple(types)])  # noqa: UP007
        self._types = types

    def is_registered(self, message_type):
        """Return whether the type is registered."""
        return message_type in self._types

    def encode(self, message):
        """Return a message encoded as a body.

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
        """Return the message decoded from a body.

        Raises
        ------
        msgspec.DecodeError
            If it is malformed or of an unknown type.
        """
        if self._decoder is None:
            raise msgspec.DecodeError("no message type is registered")
        try:
            return self._decoder.decode(body)
        except RecursionError as exc:
            raise msgspec.DecodeError("nested too deeply") from exc
