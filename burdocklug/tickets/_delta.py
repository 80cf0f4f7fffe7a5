"""Deltas: the part of a configuration value that another process lacks."""

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

DIGEST_PREFIX_BYTES = 4  # enough to tell tickets with equal numbers apart


@dataclass(frozen=True, slots=True)
class Delta:
    """Changes that bring another process's value up to that of the sender.

    Parameters
    ----------
    objects : dict of str to ObjectVersion
        Objects of which the sender holds a newer version.
    removed : tuple of str
        Names of removed objects whose tombstones the sender has dropped.
    floor : int
        Floor of the sender's value.
    """

    objects: dict[str, ObjectVersion]
    removed: tuple[str, ...]
    floor: int


def changes_since(value, before):
    """Return the delta from an older value to a newer one."""
    objects = {n: v for n, v in value.objects.items() if before.objects.get(n) != v}
    removed = tuple(sorted(before.objects.keys() - value.objects.keys()))
    return Delta(objects, removed, value.floor)


def known_versions(value):
    """Return the versions of the objects in a value, in the form that `newer_than` expects."""
    objects = value.objects.items()
    return [KnownVersion(n, v.number, v.digest[:DIGEST_PREFIX_BYTES]) for n, v in objects]


def newer_than(value, known):
    """Return the delta of a value for a process that holds the known versions.

    Parameters
    ----------
    value : ConfigValue
        The value of this process.
    known : iterable of KnownVersion
        Versions of the objects that the other process holds.
    """
    held = {version.name: version for version in known}
    objects = {n: v for n, v in value.objects.items() if _is_newer(v, held.get(n))}
    removed = tuple(
        version.name
        for version in held.values()
        if version.name not in value.objects and version.number <= value.floor
    )
    return Delta(objects, removed, value.floor)


def _is_newer(version, held):
    if held is None or held.number != version.number:
        return held is None or held.number < version.number
    return held.digest != version.digest[:DIGEST_PREFIX_BYTES]


def apply_delta(value, delta):
    """Return the join of a value with the sender's value, given the delta between them.

    Parameters
    ----------
    value : ConfigValue
        The value for which the delta was computed, or a later one.
    delta : Delta
        The delta.

    Notes
    -----
    A delta omits the objects that are equal on both sides, but the join treats an object that one
    side lacks as removed if its number is not above that side's floor. So the omitted objects are
    added back before the join.
    """
    removed = set(delta.removed)
    same = {name: v for name, v in value.objects.items() if name not in removed}
    return join(value, ConfigValue({**same, **delta.objects}, {}, delta.floor))


def encode_delta(delta):
    """Encode a delta for sending."""
    raw = encode_value(ConfigValue(delta.objects, {}, delta.floor))
    return EncodedDelta(raw, list(delta.removed))


def decode_delta(encoded):
    """Decode an `EncodedDelta`.

    Raises
    ------
    ConfigDecodeError
        If its bytes are not a configuration value.
    """
    value = decode_value(encoded.value)
    return Delta(value.objects, tuple(encoded.removed), value.floor)
