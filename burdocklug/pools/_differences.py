"""Differences between two versions of the configuration, in the form in which peers send them."""

import zlib

import msgspec

from burdocklug.pools._configuration import PoolConfiguration, QueueRule

__all__ = [
    "ConfigurationChange",
    "apply_change",
    "decode_change",
    "difference",
    "encode_change",
    "share_rules",
]

COMPRESSION_LEVEL = 1  # routes are alike, so that more effort saves few bytes


class ConfigurationChange(msgspec.Struct, frozen=True, array_like=True):
    """What leads from one version of the configuration to another.

    Parameters
    ----------
    base_version : int
        Version that the change applies to; 0 for a change that has the whole configuration.
    target : PoolConfiguration
        The other version, without its queues.
    changed : tuple of QueueRule
        Queues of the target that the base lacks or has otherwise; new ones follow the others.
    removed : tuple of str
        Names of the queues that only the base has.
    """

    base_version: int
    target: PoolConfiguration
    changed: tuple[QueueRule, ...]
    removed: tuple[str, ...] = ()


def difference(base, target):
    """Return the `ConfigurationChange` from one configuration to another.

    Examples
    --------
    >>> old = PoolConfiguration(1, tuple(QueueRule(n, "h", f"/{n}/", "s") for n in "abc"))
    >>> new = PoolConfiguration(2, (*old.queues[1:], QueueRule("d", "h", "/d/", "s")))
    >>> change = difference(old, new)
    >>> change.removed, [queue.name for queue in change.changed]
    (('a',), ['d'])
    >>> apply_change(old, change) == new
    True
    """
    rest = msgspec.structs.replace(target, queues=())
    before = {queue.name: queue for queue in base.queues}
    after = {queue.name for queue in target.queues}
    change = ConfigurationChange(
        base.version,
        rest,
        tuple(queue for queue in target.queues if before.get(queue.name) != queue),
        tuple(name for name in before if name not in after),
    )
    if _changed_queues(base, change) == target.queues:
        return change
    return ConfigurationChange(0, rest, target.queues)  # the order differs too


def apply_change(base, change):
    """Return the configuration to which a change leads.

    Raises
    ------
    ValueError
        If the change applies to another version than the base's.
    """
    if not change.base_version:
        return msgspec.structs.replace(change.target, queues=change.changed)
    if change.base_version != base.version:
        raise ValueError(
            f"change applies to version {change.base_version}, expected {base.version}"
        )
    return msgspec.structs.replace(change.target, queues=_changed_queues(base, change))


def _changed_queues(base, change):
    changed = {queue.name: queue for queue in change.changed}
    removed = frozenset(change.removed)
    kept = [changed.pop(q.name, q) for q in base.queues if q.name not in removed]
    return (*kept, *changed.values())


def encode_change(change):
    """Return a change as compressed bytes."""
    return zlib.compress(msgspec.msgpack.encode(change), COMPRESSION_LEVEL)


def decode_change(data):
    """Return the change that `encode_change` encoded.

    Raises
    ------
    ValueError
        If the bytes are not a change.
    """
    try:
        return msgspec.msgpack.decode(zlib.decompress(data), type=ConfigurationChange)
    except (zlib.error, msgspec.DecodeError) as exc:
        raise ValueError(f"change of {len(data)} bytes is not valid: {exc}") from exc


def share_rules(base, configuration):
    """Return a configuration that has the same objects as another one for the queues they share.

    Several versions of a large configuration then take little more memory than one.
    """
    before = {queue.name: queue for queue in base.queues}
    queues = tuple(
        known if (known := before.get(queue.name)) == queue else queue
        for queue in configuration.queues
    )
    return msgspec.structs.replace(configuration, queues=queues)
