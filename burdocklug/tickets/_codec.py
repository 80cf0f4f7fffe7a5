"""Binary encoding of configuration values, for the store and for messages between peers."""

import hashlib
import zlib

import msgspec

from burdocklug.kernel import BurdocklugError, ErrorKind, Ran
from burdocklug.store import MAX_VALUE_BYTES
from burdocklug.tickets._merge import ConfigValue, ObjectVersion
from burdocklug.tickets._models import state_model

__all__ = [
    "ConfigDecodeError",
    "decode_value",
    "encode_value",
    "value_digest",
]

MAX_PLAIN_BYTES = 8_000_000  # size of a value before compression
VALUE_DIGEST_BYTES = 8
FORMAT = b"\x01"  # first byte of each encoded value
COMPRESSION_LEVEL = 6
MAX_LISTED_OBJECTS = 3  # objects named in the error message for a value that is too large


class _StoredObject(msgspec.Struct, array_like=True, frozen=True):
    name: str
    number: int
    digest: bytes
    state: msgspec.Raw


class _StoredValue(msgspec.Struct, array_like=True, frozen=True):
    floor: int
    recent_tickets: list[tuple[int, bytes]]
    objects: list[_StoredObject]


class ConfigDecodeError(BurdocklugError):
    """Raised for bytes that are not an encoded configuration value."""

    def __init__(self, message):
        super().__init__(ErrorKind.INTERNAL, message, ran=Ran.NO)


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(_StoredValue)


def encode_value(value, *, max_bytes=MAX_VALUE_BYTES):
    """Encode a value to bytes.

    Parameters
    ----------
    value : ConfigValue
        The value.
    max_bytes : int, optional
        Maximum size of the result.

    Returns
    -------
    bytes
        A format byte and compressed MessagePack; equal values give equal bytes.

    Raises
    ------
    BurdocklugError
        Of kind TICKET_TOO_LARGE; the message has the total size and those of the largest objects.
    """
    stored = []
    for name, version in sorted(value.objects.items()):
        state = msgspec.Raw(_encoder.encode(version.state))
        stored.append(_StoredObject(name, version.number, version.digest, state))
    plain = _encoder.encode(_StoredValue(value.floor, sorted(value.recent_tickets.items()), stored))
    raw = FORMAT + zlib.compress(plain, COMPRESSION_LEVEL)
    if len(raw) > max_bytes or len(plain) > MAX_PLAIN_BYTES:
        raise BurdocklugError(
            ErrorKind.TICKET_TOO_LARGE, _size_message(stored, raw, plain, max_bytes)
        )
    return raw


def _size_message(stored, raw, plain, max_bytes):
    largest = sorted(stored, key=lambda obj: -len(obj.state))[:MAX_LISTED_OBJECTS]
    sizes = ", ".join(f"{obj.name} {len(obj.state)}" for obj in largest)
    return (
        f"the configuration has {len(raw)} bytes, at most {max_bytes}, and {len(plain)} bytes "
        f"before compression, at most {MAX_PLAIN_BYTES}; largest objects, uncompressed: {sizes}"
    )


def decode_value(raw, *, known=None):
    """Decode the result of `encode_value`.

    Parameters
    ----------
    raw : bytes
        The encoded value.
    known : ConfigValue, optional
        A value whose object versions are reused where they match, instead of being decoded again.

    Returns
    -------
    ConfigValue
        The value, with validated states.

    Raises
    ------
    ConfigDecodeError
        If the bytes are not an encoded value.

    Examples
    --------
    >>> decode_value(encode_value(ConfigValue(floor=3))).floor
    3
    """
    try:
        if raw[:1] != FORMAT:
            raise ValueError(f"unknown format byte {raw[:1]!r}")
        inflate = zlib.decompressobj()
        plain = inflate.decompress(raw[1:], MAX_PLAIN_BYTES)
        if not inflate.eof:
            raise ValueError(f"larger than {MAX_PLAIN_BYTES} bytes decompressed, or truncated")
        stored = _decoder.decode(plain)
        held = {} if known is None else known.objects
        objects = {obj.name: _to_version(obj, held.get(obj.name)) for obj in stored.objects}
    except (ValueError, KeyError, zlib.error, msgspec.MsgspecError) as exc:
        raise ConfigDecodeError(
            f"can't decode the configuration of {len(raw)} bytes: {exc}"
        ) from exc
    return ConfigValue(objects, dict(stored.recent_tickets), stored.floor)


def _to_version(obj, held):
    if held is not None and held.rank == (obj.number, obj.digest):
        return held
    model = state_model(obj.name)
    state = msgspec.msgpack.decode(obj.state, type=model | None)
    return ObjectVersion(obj.number, obj.digest, state)


def value_digest(value):
    """Return a short digest of the object versions and the floor of a value.

    Parameters
    ----------
    value : ConfigValue
        The value.

    Returns
    -------
    bytes
        `VALUE_DIGEST_BYTES` bytes; `recent_tickets` is not included.
    """
    versions = [(n, v.number, v.digest) for n, v in sorted(value.objects.items())]
    raw = msgspec.msgpack.encode((value.floor, versions))
    return hashlib.blake2b(raw, digest_size=VALUE_DIGEST_BYTES).digest()
