"""Strict team quotas without a central counter: fixed base shares that processes lend each other.

The base shares of all processes that the settings list as the fleet sum to the quota at any time.
A process runs at most as many tasks as its base share, less what it has lent, plus what it has
borrowed. The lender stops using a share before the borrower starts: it subtracts a loan from its
share when it grants it, until the borrower returns it or until the loan's term plus the longest
task time has passed. The number of running tasks therefore stays within the quota through
partitions, crashes, and messages that are lost, delayed or repeated.
"""

import math
from dataclasses import dataclass, field

from burdocklug.limits._base_shares import base_share, hash_rank
from burdocklug.limits._handover import LentShare, QuotaHandover
from burdocklug.limits._messages import QuotaGrant, QuotaRequest, QuotaReturn
from burdocklug.routing import Outgoing

__all__ = ["QuotaShares"]

LOAN_TERM_S = 5.0  # time from the request during which the borrower may start tasks on a loan
REQUEST_TIMEOUT_S = 0.5  # an unanswered request counts as lost after this time
REFUSAL_PAUSE_S = 0.5  # time until a peer that had nothing to lend gets another request
IDLE_LOAN_S = 1.0  # time after which an unused loan is returned


@dataclass(slots=True)
class _GrantedLoan:
    """A loan as the lender records it."""

    amount: int
    reclaim_s: float  # time at which the lender may use it again without a return


@dataclass(slots=True)
class _BorrowedLoan:
    """A loan as the borrower records it."""

    lender: str
    amount: int
    expires_s: float  # time from which no task may start on it
    last_used_s: float


@dataclass(slots=True)
class _PendingRequest:
    """A request for a loan that has not been answered."""

    lender: str
    sent_s: float


@dataclass(slots=True)
class _TeamState:
    quota: int = 0
    base: int = 0  # this process's base share
    running: int = 0
    waiting: int = 0
    granted: dict = field(default_factory=dict)  # (borrower, request id) to _GrantedLoan
    borrowed: dict = field(default_factory=dict)  # request id to _BorrowedLoan, also if expired
    pending: dict = field(default_factory=dict)  # request id to _PendingRequest
    last_refusal_s: dict = field(default_factory=dict)  # peer to the time of its last refusal


class QuotaShares:
    """Shares of the teams' quotas that one process may use.

    Parameters
    ----------
    process : str
        Name of this process in `fleet`.
    fleet : iterable of str
        Names of all processes; every process has to be configured with the same names.
    started_s : float
        Time from which the periods of `handover` are counted, in seconds.
    longest_task_s : float
        Maximum time that a task occupies a slot, in seconds.
    handover : QuotaHandover or None
        Handover of a predecessor of the same name that shut down gracefully, or
        ``QuotaHandover()`` if there never was a predecessor. None after a crash: base shares are
        then withheld for a loan's term plus the longest task time, since tasks and loans of the
        predecessor may still be in use.
    first_request_id : int, optional
        Id of the first request. Lenders identify a loan by the borrower's incarnation and the
        request id, so an object that replaces another one of the same incarnation has to
        continue after its `last_request_id`.

    Notes
    -----
    The caller has to call `set_quota` when the configuration changes, `may_start` in the predicate
    of `FairQueue.pop`, `note_started` when a task starts, `note_ended` once the task is known not
    to run any more, `tick` about every 50 ms with the waiting tasks of each team, and `receive` for
    each `QuotaMessage`. The returned `Outgoing` messages may be lost on the way.

    Examples
    --------
    >>> shares = QuotaShares(
    ...     process="p1",
    ...     fleet=["p1", "p2"],
    ...     started_s=0.0,
    ...     longest_task_s=10.0,
    ...     handover=QuotaHandover(),
    ... )
    >>> shares.set_quota(0.0, "a", 2)
    >>> shares.may_start(0.0, "a")
    True
    >>> shares.note_started(0.0, "a")
    >>> shares.may_start(0.0, "a")
    False
    """

    def __init__(
        self, *, process, fleet, started_s, longest_task_s, handover=None, first_request_id=1
    ):
        self.process = process
        self.fleet = tuple(fleet)
        self.longest_task_s = longest_task_s
        self._teams = {}
        self.last_request_id = first_request_id - 1
        if handover is None:
            handover = QuotaHandover(LOAN_TERM_S + longest_task_s)
        self._base_usable_from_s = started_s + handover.withheld_s
        for number, lent in enumerate(handover.lent):
            reclaim_s = started_s + lent.remaining_s
            self._team(lent.team).granted["handover", number] = _GrantedLoan(lent.amount, reclaim_s)

    def _team(self, name):
        return self._teams.setdefault(name, _TeamState())

    def set_quota(self, now_s, team, max_running):
        """Set a team's quota, which is the sum over all processes of the fleet."""
        entry = self._team(team)
        entry.quota = max_running
        entry.base = base_share(team, max_running, self.process, self.fleet)

    def share(self, now_s, team):
        """Return how many tasks of a team may run in this process at `now_s`."""
        entry = self._teams.get(team)
        return (
            0
            if entry is None
            else max(0, self._own_share(now_s, entry) + _borrowed_share(now_s, entry))
        )

    def _own_share(self, now_s, entry):
        """Return the base share less granted loans; it may be negative after a quota cut."""
        for key in [key for key, lent in entry.granted.items() if lent.reclaim_s <= now_s]:
            del entry.granted[key]
        base = entry.base if now_s >= self._base_usable_from_s else 0
        return base - sum(lent.amount for lent in entry.granted.values())

    def may_start(self, now_s, team):
        """Return whether one more task of a team may start."""
        entry = self._teams.get(team)
        return entry is not None and entry.running < self.share(now_s, team)

    def note_started(self, now_s, team):
        """Count a started task; for a new task, the caller has just checked `may_start`."""
        entry = self._team(team)
        entry.running += 1
        for loan in entry.borrowed.values():
            loan.last_used_s = now_s

    def note_ended(self, now_s, team):
        """Count a task as no longer running."""
        self._team(team).running -= 1

    def tick(self, now_s, waiting, peers):
        """Request loans for waiting tasks and return loans that are not needed.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        waiting : dict of str to int
            Number of waiting tasks by team.
        peers : dict of str to str
            Incarnations of the reachable processes by name, without this process.

        Returns
        -------
        list of Outgoing
            Messages to send.
        """
        out = []
        for team, entry in self._teams.items():
            entry.waiting = waiting.get(team, 0)
            out += self._return_unused(now_s, team, entry)
            shortfall = entry.waiting - (self.share(now_s, team) - entry.running)
            if shortfall > 0:
                out += self._request_loan(now_s, team, entry, shortfall, peers)
        return out

    def _request_loan(self, now_s, team, entry, shortfall, peers):
        for request_id in [
            k for k, request in entry.pending.items() if now_s - request.sent_s > REQUEST_TIMEOUT_S
        ]:
            entry.last_refusal_s[entry.pending.pop(request_id).lender] = now_s
        if entry.pending:
            return []
        candidates = [
            (base_share(team, entry.quota, name, self.fleet), name)
            for name in peers
            if now_s - entry.last_refusal_s.get(name, -REFUSAL_PAUSE_S) >= REFUSAL_PAUSE_S
        ]
        candidates = [
            (base, hash_rank(self.process, name), name) for base, name in candidates if base > 0
        ]
        if not candidates:
            return []
        name = max(candidates)[2]
        self.last_request_id += 1
        entry.pending[self.last_request_id] = _PendingRequest(name, now_s)
        return [Outgoing(peers[name], QuotaRequest(team, self.last_request_id, shortfall, now_s))]

    def _return_unused(self, now_s, team, entry):
        """Return expired and unused loans whose amount the running tasks don't need."""
        out = []
        for request_id, loan in list(entry.borrowed.items()):
            expired = now_s >= loan.expires_s
            idle = not entry.waiting and now_s - loan.last_used_s >= IDLE_LOAN_S
            share_without = self._own_share(now_s, entry) + sum(
                other.amount for key, other in entry.borrowed.items() if key != request_id
            )
            if (expired or idle) and entry.running <= max(0, share_without):
                del entry.borrowed[request_id]
                out.append(Outgoing(loan.lender, QuotaReturn(team, request_id)))
            elif now_s >= loan.expires_s + self.longest_task_s:
                del entry.borrowed[request_id]
        return out

    def receive(self, now_s, sender, message):
        """Handle a `QuotaMessage` from the incarnation `sender`; return messages to send."""
        entry = self._team(message.team)
        match message:
            case QuotaRequest():
                return self._grant_loan(now_s, sender, entry, message)
            case QuotaGrant():
                return self._accept_grant(now_s, sender, entry, message)
            case QuotaReturn():
                entry.granted.pop((sender, message.request_id), None)
        return []

    def _grant_loan(self, now_s, sender, entry, message):
        key = (sender, message.request_id)
        loan = entry.granted.get(key)
        if loan is None:
            idle = self._own_share(now_s, entry) - entry.running - entry.waiting
            loan = _GrantedLoan(
                min(message.amount, max(0, idle)), now_s + LOAN_TERM_S + self.longest_task_s
            )
            if loan.amount:
                entry.granted[key] = loan
        grant = QuotaGrant(
            message.team, message.request_id, loan.amount, message.sent_s, LOAN_TERM_S
        )
        return [Outgoing(sender, grant)]

    def _accept_grant(self, now_s, sender, entry, message):
        request = entry.pending.pop(message.request_id, None)
        if request is None:
            return []
        if not message.amount:
            entry.last_refusal_s[request.lender] = now_s
            return []
        expires_s = message.sent_s + message.term_s
        if expires_s <= now_s:
            return [Outgoing(sender, QuotaReturn(message.team, message.request_id))]
        entry.borrowed[message.request_id] = _BorrowedLoan(sender, message.amount, expires_s, now_s)
        return []

    def withhold_base_shares(self):
        """Neither use nor lend base shares from now on."""
        self._base_usable_from_s = math.inf

    def hand_over(self, now_s):
        """Give up all shares; may be called only when no task runs any more.

        Returns
        -------
        returns : list of Outgoing
            Messages that return the borrowed loans.
        handover : QuotaHandover
            State to be passed to the successor of the same name.
        """
        withheld_s = max(0.0, self._base_usable_from_s - now_s)
        self._base_usable_from_s = math.inf
        returns, lent_shares = [], []
        for team, entry in self._teams.items():
            for request_id, loan in entry.borrowed.items():
                returns.append(Outgoing(loan.lender, QuotaReturn(team, request_id)))
            entry.borrowed.clear()
            entry.pending.clear()
            for lent in entry.granted.values():
                if lent.reclaim_s > now_s:
                    lent_shares.append(LentShare(team, lent.amount, lent.reclaim_s - now_s))
        return returns, QuotaHandover(withheld_s, tuple(lent_shares))


def _borrowed_share(now_s, entry):
    return sum(loan.amount for loan in entry.borrowed.values() if now_s < loan.expires_s)
