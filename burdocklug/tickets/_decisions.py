"""When a process reads the configuration from the store, and which peers it pushes changes to.

No function here performs I/O or reads a clock: the time is a parameter, so that each can be tested
without a store.
"""

import enum
from dataclasses import dataclass

from burdocklug.peers import MemberState

__all__ = [
    "MAX_ANSWER_AGE_S",
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
CALL_MARGIN_S = 2.5  # an unanswered call is abandoned this long after its timeout
# Pause before the next call after a change, so that tickets in quick succession share one read.
CHANGE_PAUSE_S = 2.0
# Processes other than the watcher poll once their failure domain's latest store answer is older
# than this.
MAX_ANSWER_AGE_S = 5.5
POLL_JITTER_S = 1.0  # upper bound of the random delay before a process starts to poll
SAFETY_POLL_S = 30.0  # the watcher reads the value this often, in case its watch misses a change
BACKOFF_MIN_S = 0.25
BACKOFF_MAX_S = 4.0
MAX_DOUBLINGS = 16  # keeps the exponent of the backoff small during a long outage


class StoreAction(enum.Enum):
    """Kind of call that a process should make to the store now."""

    NONE = "none"
    WATCH = "watch"
    POLL = "poll"


@dataclass(frozen=True, slots=True)
class Role:
    """Role of a process in its failure domain, which decides how it follows the store.

    Parameters
    ----------
    watcher : bool
        Whether the process watches the store on behalf of its failure domain.
    fresh : bool
        Whether any process of the failure domain had an answer from the store within the last
        `MAX_ANSWER_AGE_S` seconds.
    """

    watcher: bool
    fresh: bool


@dataclass(slots=True)
class FollowState:
    """State of a process's calls to the store; times in seconds.

    Parameters
    ----------
    contact_s : float or None
        Time of the last answer from the store, None before the first one.
    version : int
        The store's version of the configuration in that answer.
    failures : int
        Consecutive failed or abandoned calls since that answer.
    deadline_s : float or None
        Time at which the call in flight is abandoned; None if there is none.
    not_before_s : float
        Earliest time of the next call.
    safety_poll_due_s : float
        Time at which the watcher reads the value even if its watch reports no change.
    was_stale : bool
        Whether the failure domain lacked a fresh answer at the last `next_action`.
    """

    contact_s: float | None = None
    version: int = 0
    failures: int = 0
    deadline_s: float | None = None
    not_before_s: float = 0.0
    safety_poll_due_s: float = 0.0
    was_stale: bool = False


def live_members(members, failure_domain=None):
    """Return the live members of a failure domain, or of all if `failure_domain` is None."""
    return [
        member
        for member in members
        if member.state == MemberState.ALIVE and failure_domain in (None, member.failure_domain)
    ]


def push_targets(failure_domain, members, *, cross_domain):
    """Return the incarnations to which a change is pushed.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this process.
    members : list of Member
        All other known members.
    cross_domain : bool
        Whether to include one member of each other failure domain, which forwards the change
        to the rest of its domain.
    """
    live = live_members(members)
    targets = [m.incarnation for m in live if m.failure_domain == failure_domain]
    if cross_domain:
        domains = {m.failure_domain for m in live} - {failure_domain}
        targets += [
            min(m.incarnation for m in live if m.failure_domain == domain)
            for domain in sorted(domains)
        ]
    return targets


def is_fresh(now_s, answer_times_s):
    """Return whether any process of a failure domain had a store answer recently.

    Parameters
    ----------
    now_s : float
        Current time.
    answer_times_s : iterable of float or None
        Time of each process's last store answer; None if unknown or if there was none.
    """
    return any(
        time_s is not None and now_s - time_s <= MAX_ANSWER_AGE_S for time_s in answer_times_s
    )


def next_action(state, now_s, role, *, jitter):
    """Return which call to make to the store now.

    Parameters
    ----------
    state : FollowState
        Updated: `was_stale`, and `not_before_s` when the domain becomes stale, so that its
        processes don't all start to poll at once.
    now_s : float
        Current time.
    role : Role
        Role of this process.
    jitter : float
        A random number from 0 to 1.

    Returns
    -------
    StoreAction
        NONE if no call is due: one is in flight, the next one is delayed, or the failure domain
        has a fresh answer and this process is not its watcher.
    """
    if not role.fresh and not state.was_stale and not role.watcher:
        state.not_before_s = max(state.not_before_s, now_s + jitter * POLL_JITTER_S)
    state.was_stale = not role.fresh
    if state.deadline_s is not None or now_s < state.not_before_s:
        return StoreAction.NONE
    if role.watcher:
        return StoreAction.POLL if now_s >= state.safety_poll_due_s else StoreAction.WATCH
    return StoreAction.NONE if role.fresh else StoreAction.POLL


def record_call(state, now_s, timeout_s):
    """Record the start of a call with the given timeout."""
    state.deadline_s = now_s + timeout_s + CALL_MARGIN_S


def record_answer(state, now_s, *, version, changed, polled):
    """Record an answer from the store.

    Parameters
    ----------
    state : FollowState
        Updated in place.
    now_s : float
        Current time.
    version : int
        Store version of the configuration as of this answer.
    changed : bool
        Whether that version differs from the one of the previous answer.
    polled : bool
        Whether the call was a poll, that is a read of the whole value.
    """
    state.contact_s = now_s
    state.version = version
    state.failures = 0
    state.deadline_s = None
    state.not_before_s = now_s + CHANGE_PAUSE_S if changed else now_s
    if polled:
        state.safety_poll_due_s = now_s + SAFETY_POLL_S


def record_failure(state, now_s, *, jitter, retry_after_s=None):
    """Record a failed or abandoned call and delay the next one by an exponential backoff.

    Parameters
    ----------
    state : FollowState
        Updated in place.
    now_s : float
        Current time.
    jitter : float
        A random number from 0 to 1.
    retry_after_s : float, optional
        Seconds until the store's client accepts calls again, if it reported them. They cap the
        delay, because a longer one would add up with the client's own backoff.
    """
    delay_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(state.failures, MAX_DOUBLINGS))
    state.failures += 1
    state.deadline_s = None
    delay_s *= 0.5 + 0.5 * jitter
    state.not_before_s = now_s + (delay_s if retry_after_s is None else min(delay_s, retry_after_s))
