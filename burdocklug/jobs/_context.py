"""Components of the process that dispatching uses."""

from dataclasses import dataclass

__all__ = ["DispatchContext"]


@dataclass
class DispatchContext:
    """Components and functions that dispatching uses, each replaceable in tests.

    Parameters
    ----------
    settings : JobSettings
        Limits of jobs.
    timers : TimerService
        Clock and timers.
    configuration : Configuration
        The configuration in force.
    peers : PeerNetwork
        Sends slot messages.
    ledger : Ledger
        Stores the answers of jobs.
    incarnation, failure_domain : str
        Incarnation and failure domain of this process.
    run_attempt : callable
        ``(service, address, attempt, *, expected_s)``; returns Finished, NotRun or Unknown.
    cancel_attempt : callable
        ``(address, attempt_id)``; requests cancellation without a guarantee.
    endpoint_view : EndpointView
        Health of the endpoints.
    endpoint_usable : callable
        ``(service, endpoint, now_s)``; returns whether the endpoint may get tasks.
    endpoint_changes : callable
        Returns a value that changes with every event that may change the usable endpoints.
    live_members : callable
        Returns the live members that accept work.
    team_may_start, note_team_started, note_team_ended : callable
        ``(team)``; check and update the use of the team's quota.
    retry_budget : RetryBudget
        Limits retries to a fraction of the first attempts.
    retry_delay_s : callable
        ``(retries)``; returns the backoff before the next retry, in seconds.
    """

    settings: object
    timers: object
    configuration: object
    peers: object
    ledger: object
    incarnation: str
    failure_domain: str
    run_attempt: object
    cancel_attempt: object
    endpoint_view: object
    endpoint_usable: object
    endpoint_changes: object
    live_members: object
    team_may_start: object
    note_team_started: object
    note_team_ended: object
    retry_budget: object
    retry_delay_s: object
