"""Decisions of the spread: who watches the store, when to call it, whom to push to.

Every function here is pure and takes the time, so that it can be tested without a store.
"""

import enum
from dataclasses import dataclass

from burdocklug.peers import MemberState

__all__ = [
    "FRESH_S",
    "POLL_TIMEOUT_S",
    "SAFETY_POLL_S",
    "TICK_S",
    "WATCH_TIMEOUT_S",
    "FollowState",
    "Role",
    "StoreAction",
    "is_fresh",
    "live_members",
    "next_action",
    "push_targets",
    "record_answer",
    "record_call",
    "record_failure",
]

TICK_S = 0.5
WATCH_TIMEOUT_S = 2.5
POLL_TIMEOUT_S = 2.0
CALL_MARGIN_S = 2.5  # past its timeout, after which an unanswered call counts as silent
NEWS_GAP_S = 2.0  # pause after news, so that tickets in quick succession share one read
FRESH_S = 5.5  # age of a failure domain's last store answer over which others poll
POLL_JITTER_S = 1.0
SAFETY_POLL_S = 30.0
BACKOFF_MIN_S = 0.25
BACKOFF_MAX_S = 4.0
MAX_DOUBLINGS = 16


class StoreAction(enum.Enum):
    """What a process should now ask the store."""

    NONE = "none"
    WATCH = "watch"
    POLL = "poll"


@dataclass(frozen=True, slots=True)
class Role:
    """What a process has to do for its failure domain.

    Parameters
    ----------
    watcher : bool
        Whether it watches the store.
    fresh : bool
        Whether any process of the failure domain had an answer from the store lately.
    """

    watcher: bool
    fresh: bool


@dataclass(slots=True)
class FollowState:
    """What a process knows of its own calls to the store; times in seconds.

    Parameters
    ----------
    contact_s : float or None
        Time of the last answer.
    version : int
        The store's version of the configuration in that answer.
    failures : int
        Calls that failed since then.
    deadline_s : float or None
        When the open call counts as silent; None where none is open.
    not_before_s : float
        Earliest time of the next call.
    safety_due_s : float
        When the watcher reads the value although its watch reports nothing.
    stale : bool
        Whether the failure domain was without a fresh answer when last looked at.
    """

    contact_s: float | None = None
    version: int = 0
    failures: int = 0
    deadline_s: float | None = None
    not_before_s: float = 0.0
    safety_due_s: float = 0.0
    stale: bool = False


def live_members(members, failure_domain=None):
    """Return the members that are alive, of one failure domain or of all."""
    return [
        member
        for member in members
        if member.state == MemberState.ALIVE and failure_domain in (None, member.failure_domain)
    ]


def push_targets(failure_domain, members, *, across):
    """Return the incarnations to which a change is pushed.

    Parameters
    ----------
    failure_domain : str
        That of this process.
    members : list of Member
        All other known members.
    across : bool
        Whether one member of each other failure domain is a target too; it forwards.
    """
    live = live_members(members)
    targets = [m.incarnation for m in live if m.failure_domain == failure_domain]
    if across:
        domains = {m.failure_domain for m in live} - {failure_domain}
        targets += [
            min(m.incarnation for m in live if m.failure_domain == domain)
            for domain in sorted(domains)
        ]
    return targets


def is_fresh(now_s, contacts_s):
    """Return whether one of the last store answers of a failure domain is recent.

    Parameters
    ----------
    now_s : float
        The time.
    contacts_s : iterable of float or None
        Time of each process's last store answer, as far as known.
    """
    return any(contact is not None and now_s - contact <= FRESH_S for contact in contacts_s)


def next_action(state, now_s, role, *, jitter):
    """Return what to ask the store now.

    Parameters
    ----------
    state : FollowState
        Changed only by the delay with which several processes start to poll.
    now_s : float
        The time.
    role : Role
        That of this process.
    jitter : float
        A random number from 0 to 1.

    Returns
    -------
    StoreAction
        NONE while a call is open or delayed.
    """
    if not role.fresh and not state.stale and not role.watcher:
        state.not_before_s = max(state.not_before_s, now_s + jitter * POLL_JITTER_S)
    state.stale = not role.fresh
    if state.deadline_s is not None or now_s < state.not_before_s:
        return StoreAction.NONE
    if role.watcher:
        return StoreAction.POLL if now_s >= state.safety_due_s else StoreAction.WATCH
    return StoreAction.NONE if role.fresh else StoreAction.POLL


def record_call(state, now_s, timeout_s):
    """Note that a call was begun."""
    state.deadline_s = now_s + timeout_s + CALL_MARGIN_S


def record_answer(state, now_s, *, version, news, polled):
    """Note that the store answered.

    Parameters
    ----------
    state : FollowState
        Changed.
    now_s : float
        The time.
    version : int
        Version of the value that the answer spoke of.
    news : bool
        Whether the answer held a value other than the last one.
    polled : bool
        Whether it answered a read of the whole value.
    """
    state.contact_s = now_s
    state.version = version
    state.failures = 0
    state.deadline_s = None
    state.not_before_s = now_s + NEWS_GAP_S if news else now_s
    if polled:
        state.safety_due_s = now_s + SAFETY_POLL_S


def record_failure(state, now_s, *, jitter, retry_after_s=None):
    """Note that a call failed or stayed silent, and delay the next one.

    Parameters
    ----------
    state : FollowState
        Changed.
    now_s : float
        The time.
    jitter : float
        A random number from 0 to 1.
    retry_after_s : float, optional
        When the store's client takes calls again, if it said so. A backoff beyond that would add
        up with the client's own.
    """
    delay_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(state.failures, MAX_DOUBLINGS))
    state.failures += 1
    state.deadline_s = None
    delay_s *= 0.5 + 0.5 * jitter
    state.not_before_s = now_s + (delay_s if retry_after_s is None else min(delay_s, retry_after_s))
