"""Strict team quotas without a central count: fixed base shares, lent between processes.

At any moment the base shares of all processes of the fleet's list sum to the quota. A process
runs at most its base share, less what it lent, plus what it borrowed. A share is given up before
it is taken up: the lender counts a loan as gone from the grant until the borrower returns it, or
until the loan's term and the longest task after it are over. So the sum of running tasks stays
within the quota through partitions, deaths, and messages that are lost, late or repeated.
"""

import math
from dataclasses import dataclass, field

from burdocklug.limits._base_shares import base_share, hash_rank
from burdocklug.limits._handover import LentShare, QuotaHandover
from burdocklug.limits._messages import QuotaGrant, QuotaRequest, QuotaReturn
from burdocklug.routing import Outgoing

__all__ = ["QuotaShares"]

LOAN_TERM_S = 5.0
ASK_TERM_S = 0.5  # a request without an answer counts as lost
REFUSED_PAUSE_S = 0.5  # before a peer that had none is asked again
IDLE_LOAN_S = 1.0  # before an unused loan is returned


@dataclass(slots=True)
class _Lent:
    amount: int
    free_s: float  # when it is the lender's again without a return


@dataclass(slots=True)
class _Loan:
    lender: str
    amount: int
    until_s: float  # no start on it from then on
    used_s: float


@dataclass(slots=True)
class _Ask:
    lender: str
    sent_s: float


@dataclass(slots=True)
class _Team:
    quota: int = 0
    base: int = 0
    running: int = 0
    waiting: int = 0
    lent: dict = field(default_factory=dict)  # (borrower, request id) to _Lent
    loans: dict = field(default_factory=dict)  # request id to _Loan, ended ones included
    asks: dict = field(default_factory=dict)  # request id to _Ask
    refused_s: dict = field(default_factory=dict)  # peer name to the time of its last refusal


class QuotaShares:
    """Shares of all teams' quotas that one process may use.

    Parameters
    ----------
    process : str
        Name of this process in the fleet's list.
    fleet : iterable of str
        Names of all processes; the same everywhere.
    started_s : float
        Time of this incarnation's start.
    longest_task_s : float
        No task occupies a slot for longer, in seconds.
    handover : QuotaHandover or None
        From a predecessor of the same name that left gracefully, or ``QuotaHandover()`` where
        there never was one. None after a kill: base shares rest for a loan's term and the
        longest task, as the predecessor's tasks and loans may still be in use.

    first_request : int, optional
        Number of its first request; one that replaces other shares of the same incarnation goes
        on after their `last_request`, as lenders know a loan by incarnation and number.

    Notes
    -----
    How to drive it: `set_quota` when configuration changes; `may_start` in the predicate of
    `FairQueue.pop`; `started` and `ended` around each task, `ended` only once the task is known
    not to run any more; `tick` each 50 ms or so with the waiting tasks of each team; `receive`
    for each `QuotaMessage`. Send the returned `Outgoing`, best effort.

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
    >>> shares.started(0.0, "a")
    >>> shares.may_start(0.0, "a")
    False
    """

    def __init__(
        self, *, process, fleet, started_s, longest_task_s, handover=None, first_request=1
    ):
        self.process = process
        self.fleet = tuple(fleet)
        self.longest_task_s = longest_task_s
        self._teams = {}
        self.last_request = first_request - 1
        if handover is None:
            handover = QuotaHandover(LOAN_TERM_S + longest_task_s)
        self._base_from_s = started_s + handover.rest_s
        for number, lent in enumerate(handover.lent):
            free_s = started_s + lent.left_s
            self._team(lent.team).lent["handover", number] = _Lent(lent.amount, free_s)

    def _team(self, name):
        return self._teams.setdefault(name, _Team())

    def set_quota(self, now_s, team, max_running):
        """Set a team's quota over the whole fleet."""
        entry = self._team(team)
        entry.quota = max_running
        entry.base = base_share(team, max_running, self.process, self.fleet)

    def share(self, now_s, team):
        """Return how many tasks of a team may run in this process now."""
        entry = self._teams.get(team)
        return 0 if entry is None else max(0, self._own(now_s, entry) + _borrowed(now_s, entry))

    def _own(self, now_s, entry):
        """Return the base share less what is lent; negative after a quota was lowered."""
        for key in [key for key, lent in entry.lent.items() if lent.free_s <= now_s]:
            del entry.lent[key]
        base = entry.base if now_s >= self._base_from_s else 0
        return base - sum(lent.amount for lent in entry.lent.values())

    def may_start(self, now_s, team):
        """Return whether one more task of a team may start."""
        entry = self._teams.get(team)
        return entry is not None and entry.running < self.share(now_s, team)

    def started(self, now_s, team):
        """Count a start; only after `may_start` said yes at the same time."""
        entry = self._team(team)
        entry.running += 1
        for loan in entry.loans.values():
            loan.used_s = now_s

    def ended(self, now_s, team):
        """Count an end."""
        self._team(team).running -= 1

    def tick(self, now_s, waiting, peers):
        """Borrow for waiting tasks and return what is not needed.

        Parameters
        ----------
        now_s : float
            The time, in seconds.
        waiting : dict of str to int
            Waiting tasks by team.
        peers : dict of str to str
            Names of the reachable processes, this one left out, to their incarnations.

        Returns
        -------
        list of Outgoing
            Messages to send.
        """
        out = []
        for team, entry in self._teams.items():
            entry.waiting = waiting.get(team, 0)
            out += self._return_unused(now_s, team, entry)
            short = entry.waiting - (self.share(now_s, team) - entry.running)
            if short > 0:
                out += self._ask(now_s, team, entry, short, peers)
        return out

    def _ask(self, now_s, team, entry, short, peers):
        for request_id in [k for k, ask in entry.asks.items() if now_s - ask.sent_s > ASK_TERM_S]:
            entry.refused_s[entry.asks.pop(request_id).lender] = now_s
        if entry.asks:
            return []
        ready = [
            (base_share(team, entry.quota, name, self.fleet), name)
            for name in peers
            if now_s - entry.refused_s.get(name, -REFUSED_PAUSE_S) >= REFUSED_PAUSE_S
        ]
        ready = [(base, hash_rank(self.process, name), name) for base, name in ready if base > 0]
        if not ready:
            return []
        name = max(ready)[2]
        self.last_request += 1
        entry.asks[self.last_request] = _Ask(name, now_s)
        return [Outgoing(peers[name], QuotaRequest(team, self.last_request, short, now_s))]

    def _return_unused(self, now_s, team, entry):
        """Return loans that ended or lie idle, as far as running tasks fit without them."""
        out = []
        for request_id, loan in list(entry.loans.items()):
            ended = now_s >= loan.until_s
            idle = not entry.waiting and now_s - loan.used_s >= IDLE_LOAN_S
            rest = self._own(now_s, entry) + sum(
                other.amount for key, other in entry.loans.items() if key != request_id
            )
            if (ended or idle) and entry.running <= max(0, rest):
                del entry.loans[request_id]
                out.append(Outgoing(loan.lender, QuotaReturn(team, request_id)))
            elif now_s >= loan.until_s + self.longest_task_s:
                del entry.loans[request_id]
        return out

    def receive(self, now_s, sender, message):
        """Take a `QuotaMessage` of the incarnation `sender` and return messages to send."""
        entry = self._team(message.team)
        match message:
            case QuotaRequest():
                return self._lend(now_s, sender, entry, message)
            case QuotaGrant():
                return self._borrow(now_s, sender, entry, message)
            case QuotaReturn():
                entry.lent.pop((sender, message.request_id), None)
        return []

    def _lend(self, now_s, sender, entry, message):
        key = (sender, message.request_id)
        known = entry.lent.get(key)
        if known is None:
            idle = self._own(now_s, entry) - entry.running - entry.waiting
            known = _Lent(
                min(message.amount, max(0, idle)), now_s + LOAN_TERM_S + self.longest_task_s
            )
            if known.amount:
                entry.lent[key] = known
        grant = QuotaGrant(
            message.team, message.request_id, known.amount, message.sent_s, LOAN_TERM_S
        )
        return [Outgoing(sender, grant)]

    def _borrow(self, now_s, sender, entry, message):
        ask = entry.asks.pop(message.request_id, None)
        if ask is None:
            return []
        if not message.amount:
            entry.refused_s[ask.lender] = now_s
            return []
        until_s = message.sent_s + message.term_s
        if until_s <= now_s:
            return [Outgoing(sender, QuotaReturn(message.team, message.request_id))]
        entry.loans[message.request_id] = _Loan(sender, message.amount, until_s, now_s)
        return []

    def hold_base(self):
        """Start nothing more on base shares, and lend none."""
        self._base_from_s = math.inf

    def leave(self, now_s):
        """Return loans to send back and what is still lent, once no task runs any more.

        Returns
        -------
        returns : list of Outgoing
            Messages to send.
        handover : QuotaHandover
            For the successor of the same name, by whatever way it is told.
        """
        rest_s = max(0.0, self._base_from_s - now_s)
        self._base_from_s = math.inf
        returns, lent_shares = [], []
        for team, entry in self._teams.items():
            for request_id, loan in entry.loans.items():
                returns.append(Outgoing(loan.lender, QuotaReturn(team, request_id)))
            entry.loans.clear()
            entry.asks.clear()
            for lent in entry.lent.values():
                if lent.free_s > now_s:
                    lent_shares.append(LentShare(team, lent.amount, lent.free_s - now_s))
        return returns, QuotaHandover(rest_s, tuple(lent_shares))


def _borrowed(now_s, entry):
    return sum(loan.amount for loan in entry.loans.values() if now_s < loan.until_s)
