"""Registration of a process's name, to which its base shares of the quotas belong.

Only one incarnation at a time may use the base shares of a name. A record in the platform's store
holds the incarnation that registered last and its handover. The member table shows which
incarnations are living, also those that never reached the platform. A process registers its name
only once no other incarnation can hold it.
"""

from dataclasses import dataclass

import msgspec

from burdocklug.limits._handover import LentShare, QuotaHandover
from burdocklug.peers import MemberState, address_of, started_ns

__all__ = ["NameRecord", "NameRegistration", "Registered", "resolve_holder", "store_key"]

PURPOSE = "process_name"


class NameRecord(msgspec.Struct, frozen=True):
    """Record stored under a process's name.

    Parameters
    ----------
    incarnation : str
        Incarnation that wrote the record.
    left : bool
        Whether that incarnation shut down gracefully; the fields below are its handover then.
    left_at_s : float
        Wall-clock time of the shutdown, in seconds since 1970.
    rest_s : float
        Seconds after the shutdown for which base shares must not be used.
    lent : list of tuple
        Granted loans: team, amount, seconds after the shutdown until the lender may reclaim it.
    """

    incarnation: str
    left: bool = False
    left_at_s: float = 0.0
    rest_s: float = 0.0
    lent: list[tuple[str, int, float]] = []


@dataclass(frozen=True, slots=True)
class Registered:
    """A registered name, with its last holder's handover, or None if that holder crashed."""

    handover: QuotaHandover | None


def store_key(name):
    """Return the key in the store for a process's name."""
    return f"processes/{name}"


def resolve_holder(record, members, *, name, own, unknown_is_gone):
    """Return the other holder of a name, and whether base shares have to be withheld.

    Parameters
    ----------
    record : NameRecord or None
        Record of the name in the store.
    members : iterable of Member
        Members of the member table, without this process.
    name, own : str
        This process's name and incarnation.
    unknown_is_gone : bool
        Whether an incarnation that is missing from the member table counts as gone.

    Returns
    -------
    held_by : str or None
        The other incarnation that still holds the name; this process has to wait for its end.
    withholds : bool
        Whether tasks or loans of an earlier incarnation may still be in use, since it has left no
        handover.

    Notes
    -----
    An older incarnation at this process's own address is gone, since this process listens there.
    Among living incarnations without a record, the one that started first holds the name.
    """
    states = {m.incarnation: m.state for m in members if m.name == name and m.incarnation != own}

    def is_gone(incarnation):
        if address_of(incarnation) == address_of(own) and started_ns(incarnation) < started_ns(own):
            return True
        state = states.get(incarnation)
        return unknown_is_gone if state is None else not state.is_alive_or_suspect

    since_ns = -1 if record is None else started_ns(record.incarnation)
    unrecorded = [i for i in states if since_ns < started_ns(i) < started_ns(own)]
    if record is not None:
        unrecorded = [i for i in unrecorded if i != record.incarnation]
    withholds = bool(unrecorded) or (record is not None and not record.left)
    rivals = [i for i in unrecorded if not is_gone(i)]
    if record is not None and not record.left and record.incarnation != own:
        rivals += [] if is_gone(record.incarnation) else [record.incarnation]
    return min(rivals, key=started_ns, default=None), withholds


class NameRegistration:
    """Registers and releases the name of one process.

    Parameters
    ----------
    store : Store
        The platform's store.
    peers : PeerNetwork
        Network of peers, which has the member table.
    name : str
        Name of this process.
    fleet : iterable of str
        Names of all processes.
    now, wall_clock : callable
        Return monotonic seconds, and seconds since 1970.

    Attributes
    ----------
    held_by : str or None
        Other incarnation that holds the name.
    """

    def __init__(self, store, peers, *, name, fleet, now, wall_clock):
        self._store = store
        self._peers = peers
        self._name = name
        self._has_peers = any(other != name for other in fleet)
        self._now = now
        self._wall_clock = wall_clock
        self._started_s = now()
        self._first_contact_s = None
        self._record = None
        self._record_version = 0
        self._withholds = True
        self.held_by = None

    @property
    def is_registered(self):
        """Whether this process has written the record of its name."""
        return self._record_version > 0

    def is_membership_converged(self):
        """Return whether the member table has had enough time to converge.

        Notes
        -----
        Peers reply to the first greeting with their whole member tables, so one heartbeat after
        the first contact is enough. A process that reaches no peer for the time after which a
        member is declared dead relies on the record alone.
        """
        if not self._has_peers:
            return True
        now, settings = self._now(), self._peers.settings
        if self._first_contact_s is None:
            if any(m.state is MemberState.ALIVE for m in self._peers.members()):
                self._first_contact_s = now
            return now - self._started_s >= settings.dead_after_s
        return now - self._first_contact_s >= settings.heartbeat_s

    def register(self):
        """Return `Registered` once this process has the name, None while another may hold it.

        Raises
        ------
        BurdocklugError
            If the store does not answer; `held_by` then follows from the member table alone.

        Notes
        -----
        The record is written as soon as its last holder is gone, so that losing the connection to
        the platform soon after the start does no harm. `Registered` is returned only once the
        member table has converged and shows no other holder, since base shares are used from
        then on.
        """
        try:
            if not self.is_registered:
                self._write_record()
        finally:
            self._update_holder()
        if self.held_by is not None or not self.is_registered or not self.is_membership_converged():
            return None
        return Registered(None if self._withholds else self._handover())

    def _write_record(self):
        key = store_key(self._name)
        entry = self._store.get(key, purpose=PURPOSE)
        self._record = entry and msgspec.msgpack.decode(entry.value, type=NameRecord)
        self._update_holder()
        if self.held_by is not None:
            return
        value = msgspec.msgpack.encode(NameRecord(self._peers.incarnation))
        version = entry.version if entry else 0
        written = self._store.put(key, value, expected_version=version, purpose=PURPOSE)
        self._record_version = written.version

    def _update_holder(self):
        settings = self._peers.settings
        timed_out = self._now() - self._started_s > settings.forget_after_s
        converged = self.is_membership_converged() and (
            self._first_contact_s is not None or not self._has_peers
        )
        self.held_by, self._withholds = resolve_holder(
            self._record,
            self._peers.members(),
            name=self._name,
            own=self._peers.incarnation,
            unknown_is_gone=timed_out or converged,
        )

    def _handover(self):
        record = self._record
        if record is None:
            return QuotaHandover()
        age_s = max(0.0, self._wall_clock() - record.left_at_s)
        lent = (
            LentShare(team, amount, remaining_s - age_s)
            for team, amount, remaining_s in record.lent
        )
        return QuotaHandover(
            max(0.0, record.rest_s - age_s), tuple(item for item in lent if item.remaining_s > 0)
        )

    def release(self, handover):
        """Write the handover to the record, for the next process of this name.

        Raises
        ------
        BurdocklugError
            If the store does not answer, or another process has written the record since.
        """
        lent = [(item.team, item.amount, item.remaining_s) for item in handover.lent]
        record = NameRecord(
            self._peers.incarnation, True, self._wall_clock(), handover.withheld_s, lent
        )
        self._store.put(
            store_key(self._name),
            msgspec.msgpack.encode(record),
            expected_version=self._record_version,
            purpose=PURPOSE,
        )
