"""Registration of a process's name, to which its base shares of the quotas belong.

One incarnation at a time may use the base shares of a name. The record at the platform says who
registered last and what it left; the members say who lives, also where one never reached the
platform. A name is taken only once nobody else can hold it.
"""

from dataclasses import dataclass

import msgspec

from burdocklug.limits._handover import LentShare, QuotaHandover
from burdocklug.peers import MemberState, address_of, started_ns

__all__ = ["NameRecord", "NameRegistration", "Taken", "judge_name", "store_key"]

PURPOSE = "process_name"


class NameRecord(msgspec.Struct, frozen=True):
    """Value of a process's name in the store.

    Parameters
    ----------
    incarnation : str
        The process that wrote it.
    left : bool
        Whether that process shut down gracefully; then the two others hold its handover.
    left_at_s : float
        Wall-clock time of the shutdown, in seconds since 1970.
    rest_s : float
        Seconds from then on for which base shares rest.
    lent : list of tuple
        Loans not yet over: team, amount, seconds left.
    """

    incarnation: str
    left: bool = False
    left_at_s: float = 0.0
    rest_s: float = 0.0
    lent: list[tuple[str, int, float]] = []


@dataclass(frozen=True, slots=True)
class Taken:
    """A registered name, with the handover of its last holder or None after a kill."""

    handover: QuotaHandover | None


def store_key(name):
    """Return the store's key of a process's name."""
    return f"processes/{name}"


def judge_name(record, members, *, name, own, unknown_is_gone):
    """Return who else holds a name, and whether its last holder ended without a handover.

    Parameters
    ----------
    record : NameRecord or None
        What the store holds.
    members : iterable of Member
        The known members without this process.
    name, own : str
        This process's name and incarnation.
    unknown_is_gone : bool
        Whether a holder that no member table names counts as gone.

    Returns
    -------
    held_by : str or None
        The incarnation that has to be gone before this process may take the name.
    rests : bool
        Whether tasks or loans of an earlier process may still be in use.

    Notes
    -----
    An older incarnation at the own address is gone, since this process listens there. Among
    living processes without a record the one that started first keeps the name.
    """
    states = {m.incarnation: m.state for m in members if m.name == name and m.incarnation != own}

    def is_gone(incarnation):
        if address_of(incarnation) == address_of(own) and started_ns(incarnation) < started_ns(own):
            return True
        state = states.get(incarnation)
        return unknown_is_gone if state is None else not state.is_living

    since_ns = -1 if record is None else started_ns(record.incarnation)
    unrecorded = [i for i in states if since_ns < started_ns(i) < started_ns(own)]
    if record is not None:
        unrecorded = [i for i in unrecorded if i != record.incarnation]
    rests = bool(unrecorded) or (record is not None and not record.left)
    rivals = [i for i in unrecorded if not is_gone(i)]
    if record is not None and not record.left and record.incarnation != own:
        rivals += [] if is_gone(record.incarnation) else [record.incarnation]
    return min(rivals, key=started_ns, default=None), rests


class NameRegistration:
    """Takes and releases the name of one process.

    Parameters
    ----------
    store : Store
        The platform.
    peers : PeerNetwork
        Knows who lives.
    name : str
        The name.
    fleet : iterable of str
        Names of all processes.
    now, wall_clock : callable
        Monotonic seconds, and seconds since 1970.

    Attributes
    ----------
    held_by : str or None
        Another incarnation that holds the name.
    """

    def __init__(self, store, peers, *, name, fleet, now, wall_clock):
        self._store = store
        self._peers = peers
        self._name = name
        self._has_peers = any(other != name for other in fleet)
        self._now = now
        self._wall_clock = wall_clock
        self._started_s = now()
        self._reached_s = None
        self._record = None
        self._version = 0
        self._rests = True
        self.held_by = None

    @property
    def is_taken(self):
        """Whether this process holds the name."""
        return self._version > 0

    def is_settled(self):
        """Return whether the member table has had the time to learn who lives.

        Notes
        -----
        Peers answer the first greeting with their whole tables. A process that reaches nobody
        for as long as it takes to call a member dead goes by the record alone.
        """
        if not self._has_peers:
            return True
        now, settings = self._now(), self._peers.settings
        if self._reached_s is None:
            if any(m.state is MemberState.ALIVE for m in self._peers.members()):
                self._reached_s = now
            return now - self._started_s >= settings.dead_after_s
        return now - self._reached_s >= settings.heartbeat_s

    def take(self):
        """Return `Taken` once the name is this process's, None while another may hold it.

        Raises
        ------
        BurdocklugError
            If the store does not answer; `held_by` then follows the members alone.

        Notes
        -----
        The record is written as soon as its last holder is gone, so that a cut soon after the
        start costs nothing. What the members know decides when base shares are used.
        """
        try:
            if not self.is_taken:
                self._write()
        finally:
            self._judge()
        if self.held_by is not None or not self.is_taken or not self.is_settled():
            return None
        return Taken(None if self._rests else self._handover())

    def _write(self):
        key = store_key(self._name)
        entry = self._store.get(key, purpose=PURPOSE)
        self._record = entry and msgspec.msgpack.decode(entry.value, type=NameRecord)
        self._judge()
        if self.held_by is not None:
            return
        value = msgspec.msgpack.encode(NameRecord(self._peers.incarnation))
        version = entry.version if entry else 0
        written = self._store.put(key, value, expected_version=version, purpose=PURPOSE)
        self._version = written.version

    def _judge(self):
        settings = self._peers.settings
        late = self._now() - self._started_s > settings.forget_after_s
        learned = self.is_settled() and (self._reached_s is not None or not self._has_peers)
        self.held_by, self._rests = judge_name(
            self._record,
            self._peers.members(),
            name=self._name,
            own=self._peers.incarnation,
            unknown_is_gone=late or learned,
        )

    def _handover(self):
        record = self._record
        if record is None:
            return QuotaHandover()
        age_s = max(0.0, self._wall_clock() - record.left_at_s)
        lent = (LentShare(team, amount, left_s - age_s) for team, amount, left_s in record.lent)
        return QuotaHandover(
            max(0.0, record.rest_s - age_s), tuple(item for item in lent if item.left_s > 0)
        )

    def release(self, handover):
        """Leave a handover for the next process of the name.

        Raises
        ------
        BurdocklugError
            If the store does not answer, or another process has the name.
        """
        lent = [(item.team, item.amount, item.left_s) for item in handover.lent]
        record = NameRecord(
            self._peers.incarnation, True, self._wall_clock(), handover.rest_s, lent
        )
        self._store.put(
            store_key(self._name),
            msgspec.msgpack.encode(record),
            expected_version=self._version,
            purpose=PURPOSE,
        )
