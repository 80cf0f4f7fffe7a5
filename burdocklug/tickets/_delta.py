"""The part of a configuration value that another process lacks."""

from dataclasses import dataclass

from burdocklug.tickets._codec import decode_value, encode_value
from burdocklug.tickets._merge import ConfigValue, ObjectVersion, join
from burdocklug.tickets._messages import EncodedDelta, KnownVersion

__all__ = [
    "Delta",
    "apply_delta",
    "changes_since",
    "decode_delta",
    "encode_delta",
    "known_versions",
    "newer_than",
]

KNOWN_DIGEST_BYTES = 4


@dataclass(frozen=True, slots=True)
class Delta:
    """What to change in another process's value so that it reflects that of the sender.

    Parameters
    ----------
    objects : dict of str to ObjectVersion
        Objects that the sender holds in a newer version.
    removed : tuple of str
        Objects of which the sender has forgotten the removal.
    floor : int
        The sender's floor.
    """

    objects: dict[str, ObjectVersion]
    removed: tuple[str, ...]
    floor: int


def changes_since(value, before):
    """Return what changed in a value since an older one."""
    objects = {n: v for n, v in value.objects.items() if before.objects.get(n) != v}
    removed = tuple(sorted(before.objects.keys() - value.objects.keys()))
    return Delta(objects, removed, value.floor)


def known_versions(value):
    """Return which version of each object a value holds, as `newer_than` takes it."""
    objects = value.objects.items()
    return [KnownVersion(n, v.number, v.digest[:KNOWN_DIGEST_BYTES]) for n, v in objects]


def newer_than(value, known):
    """Return the part of a value that the holder of the known versions lacks.

    Parameters
    ----------
    value : ConfigValue
        The value.
    known : iterable of KnownVersion
        What the other process holds.
    """
    held = {version.name: version for version in known}
    objects = {n: v for n, v in value.objects.items() if _is_news(v, held.get(n))}
    removed = tuple(
        version.name
        for version in held.values()
        if version.name not in value.objects and version.number <= value.floor
    )
    return Delta(objects, removed, value.floor)


def _is_news(version, held):
    if held is None or held.number != version.number:
        return held is None or held.number < version.number
    return held.digest != version.digest[:KNOWN_DIGEST_BYTES]


def apply_delta(value, delta):
    """Return the join of a value with the one that a delta was made from.

    Parameters
    ----------
    value : ConfigValue
        At or over the value that the delta was made for.
    delta : Delta
        The delta.

    Notes
    -----
    A delta says nothing of the objects that are the same on both sides, whereas an object that
    is missing from a value at or under its floor counts as removed. So those objects are put
    back before the join.
    """
    removed = set(delta.removed)
    same = {name: v for name, v in value.objects.items() if name not in removed}
    return join(value, ConfigValue({**same, **delta.objects}, {}, delta.floor))


def encode_delta(delta):
    """Return a delta as it is sent."""
    raw = encode_value(ConfigValue(delta.objects, {}, delta.floor))
    return EncodedDelta(raw, list(delta.removed))


def decode_delta(encoded):
    """Return the delta of an `EncodedDelta`.

    Raises
    ------
    ValueUnreadable
        If its bytes are no configuration value.
    """
    value = decode_value(encoded.value)
    return Delta(value.objects, tuple(encoded.removed), value.floor)
