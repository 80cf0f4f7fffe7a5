"""Decides from when a job's tasks may start here after another scheduler may have started them.

An endpoint's fencing token stops orders of a former scheduler to that endpoint only, so a job that
passes to another scheduler has to wait for its runs on all endpoints.
"""

from dataclasses import dataclass

from burdocklug.pools._lease_times import TAKEOVER_DELAY_S

__all__ = ["StartHold", "hold_start", "merge_holds", "release_reason"]

# Time after the last message of another scheduler from which reports of all listed endpoints end a
# hold. It exceeds the lifetime of an order on an endpoint that only that scheduler had listed.
REPORTED_DELAY_S = 1.2


@dataclass(frozen=True, slots=True)
class StartHold:
    """Wait of a job whose runs under another scheduler may continue.

    Parameters
    ----------
    since_s : float
        When the job was submitted here.
    until_s : float
        When the runs have lapsed, if no report shows that earlier.
    endpoint_ids : frozenset of str or None
        Endpoints that may have such runs; None if they are not known.
    """

    since_s: float
    until_s: float
    endpoint_ids: frozenset | None = None

    @property
    def earliest_s(self):
        """When it ends if all endpoints report in time."""
        return self.until_s - TAKEOVER_DELAY_S + REPORTED_DELAY_S


def hold_start(now_s, *, since_heard_s, progress):
    """Return the hold of a job that another scheduler may have started.

    Parameters
    ----------
    now_s : float
        The current time.
    since_heard_s : float
        Seconds since the last message of that scheduler.
    progress : JobProgress or None
        The job's progress there, if that scheduler gave the job up.

    Examples
    --------
    >>> hold_start(100.0, since_heard_s=0.2, progress=None)  # doctest: +ELLIPSIS
    StartHold(since_s=100.0, until_s=101.97..., endpoint_ids=None)
    """
    until_s = now_s + max(0.0, TAKEOVER_DELAY_S - since_heard_s)
    if progress is None or progress.endpoint_ids is None:
        return StartHold(now_s, until_s)
    return StartHold(now_s, until_s, frozenset(progress.endpoint_ids))


def merge_holds(one, other):
    """Return the hold that is over only when both are; either may be None.

    Examples
    --------
    >>> merge_holds(StartHold(1.0, 2.2, frozenset({"e1"})), StartHold(1.5, 2.0))
    StartHold(since_s=1.5, until_s=2.2, endpoint_ids=None)
    """
    if one is None or other is None:
        return one or other
    endpoint_ids = None
    if one.endpoint_ids is not None and other.endpoint_ids is not None:
        endpoint_ids = one.endpoint_ids | other.endpoint_ids
    return StartHold(max(one.since_s, other.since_s), max(one.until_s, other.until_s), endpoint_ids)


def release_reason(hold, now_s, *, is_reconciled, reported_s, listed_ids=None):
    """Return why a hold is over, or an empty string if it is not.

    Parameters
    ----------
    hold : StartHold
        The hold.
    now_s : float
        The current time.
    is_reconciled : bool
        Whether this scheduler has contacted its endpoints or waited for all earlier leases.
    reported_s : callable
        Returns when the last report of an endpoint that obeys this scheduler was requested;
        ``-inf`` if there is none.
    listed_ids : iterable of str or None, optional
        Endpoints that any scheduler may have used, by a list that was read since the submission;
        None if there is no such list.

    Notes
    -----
    A report that was requested after the submission shows the runs that the endpoint still has; its
    fence keeps the other scheduler from starting or renewing any.

    Examples
    --------
    >>> hold = StartHold(10.0, 11.2, frozenset({"e1", "e2"}))
    >>> reports = {"e1": 10.1, "e2": 9.9}
    >>> release_reason(hold, 10.2, is_reconciled=True, reported_s=reports.get)
    ''
    >>> reports["e2"] = 10.15
    >>> release_reason(hold, 10.2, is_reconciled=True, reported_s=reports.get)
    'endpoints_reported'
    """
    if hold.endpoint_ids is not None:
        if all(reported_s(endpoint_id) > hold.since_s for endpoint_id in hold.endpoint_ids):
            return "endpoints_reported"
        return "leases_lapsed" if now_s >= hold.until_s else ""
    if now_s >= hold.until_s and is_reconciled:
        return "leases_lapsed"
    if now_s < hold.earliest_s or not is_reconciled or listed_ids is None:
        return ""
    is_reported = all(reported_s(endpoint_id) > hold.since_s for endpoint_id in listed_ids)
    return "all_endpoints_reported" if is_reported else ""
