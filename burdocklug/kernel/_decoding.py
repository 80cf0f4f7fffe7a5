"""Decoding of JSON that other programs write."""

import msgspec

__all__ = ["MalformedValue", "decode_json"]


class MalformedValue(ValueError):
    """Bytes that are not JSON of the expected type and range."""


def decode_json(raw, model):
    """Return the value of a given type that some bytes encode.

    Parameters
    ----------
    raw : bytes
        The bytes, whatever they are.
    model : type
        Type of the value, with the ranges of its numbers.

    Raises
    ------
    MalformedValue
        If they are not valid, nested too deeply for the decoder included.

    Examples
    --------
    >>> decode_json(b"[1, 2]", list[int])
    [1, 2]
    >>> decode_json(b"[1", list)
    Traceback (most recent call last):
    burdocklug.kernel._decoding.MalformedValue: Input data was truncated
    """
    try:
        return msgspec.json.decode(raw, type=model)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise MalformedValue(str(exc)) from exc
