"""Merge of host lists that reach a process in any order and by any path."""

from burdocklug.store._store import HostList

__all__ = ["merge_host_lists"]


def merge_host_lists(first, second):
    """Return the newer of two host lists, or their union for equal versions.

    Parameters
    ----------
    first, second : HostList
        Lists from the platform or from peers.

    Returns
    -------
    HostList
        The list with the higher version. Lists with equal versions are united; a host that is
        leaving in either list is leaving in the union.

    Notes
    -----
    The merge is commutative, associative and idempotent, so a list that arrives late or
    repeatedly never makes a leaving host live again.

    Examples
    --------
    >>> old = HostList(1, live=frozenset({"10.0.0.1"}))
    >>> new = HostList(2, leaving=frozenset({"10.0.0.1"}))
    >>> merge_host_lists(new, old) == merge_host_lists(old, new) == new
    True
    """
    if first.version != second.version:
        return _normalized(max(first, second, key=lambda hosts: hosts.version))
    leaving = first.leaving | second.leaving
    return HostList(first.version, (first.live | second.live) - leaving, leaving)


def _normalized(hosts):
    if hosts.live.isdisjoint(hosts.leaving):
        return hosts
    return HostList(hosts.version, hosts.live - hosts.leaving, hosts.leaving)
