"""Messages of a fleet by cause: what its endpoints recorded, and its processes' counters."""

from collections import Counter

__all__ = ["IDEAL_PER_TASK", "JOB_MESSAGES", "endpoint_messages", "peer_messages"]

IDEAL_PER_TASK = 2  # the start and its answer
LEASE_MESSAGES = ("slot_request", "slot_grant", "slot_return", "slot_recall")
QUOTA_MESSAGES = ("quota_request", "quota_grant", "quota_return")
FORWARDING_MESSAGES = ("submit_job", "await_job", "cancel_job", "job_reply")
JOB_MESSAGES = frozenset(LEASE_MESSAGES + QUOTA_MESSAGES + FORWARDING_MESSAGES)
PREFIX = "messages_"


def endpoint_messages(records):
    """Return the messages between processes and endpoints by cause, requests and answers both.

    Parameters
    ----------
    records : dict of str to dict
        What each endpoint stand-in recorded, by address.

    Returns
    -------
    Counter
        ``start`` has the two unavoidable messages of each task that ran; the other causes are
        ``not_run`` for starts that ran nothing, ``fence``, ``cancel``, ``status``, ``unanswered``.

    Examples
    --------
    >>> record = {"messages": {"start": 5, "fence": 1}, "starts": [("t1",), ("t2",)]}
    >>> sorted(endpoint_messages({"127.0.0.1:1": record}).items())
    [('fence', 2), ('not_run', 6), ('start', 4)]
    """
    found = Counter()
    for record in records.values():
        for cause, count in record["messages"].items():
            found[cause] += 2 * count
    ran = 2 * sum(len(record["starts"]) for record in records.values())
    found["not_run"] = found["start"] - ran
    found["start"] = ran
    return +found


def peer_messages(states):
    """Return the messages that processes sent each other for jobs, by type.

    Parameters
    ----------
    states : iterable of dict
        State dumps of the processes.

    Returns
    -------
    Counter
        Leases of slots, quota loans, and jobs of keys that another process owns. Heartbeats,
        renewals and tickets go by time, not by task, and are left out.

    Examples
    --------
    >>> state = {"peers": {"counters": {"messages_slot_grant": 3, "messages_hb": 9}}}
    >>> peer_messages([state, state])
    Counter({'slot_grant': 6})
    """
    found = Counter()
    for state in states:
        for name, count in state["peers"]["counters"].items():
            if name.startswith(PREFIX) and name.removeprefix(PREFIX) in JOB_MESSAGES:
                found[name.removeprefix(PREFIX)] += count
    return found
