"""What dispatching needs from the rest of the process."""

from dataclasses import dataclass

__all__ = ["DispatchContext"]


@dataclass
class DispatchContext:
    """The parts and functions that dispatching uses, so that tests can replace each.

    Parameters
    ----------
    settings : JobSettings
        Bounds of jobs.
    timers : TimerService
        The source of time.
    configuration : Configuration
        What is in force.
    peers : PeerNetwork
        Sends slot messages.
    ledger : Ledger
        Takes answers.
    incarnation, failure_domain : str
        This process.
    run_attempt : callable
        ``(service, address, attempt, *, expected_s)`` to Finished, NotRun or Unknown.
    cancel_attempt : callable
        ``(address, attempt_id)``; best effort.
    endpoint_view : EndpointView
        Health of the endpoints.
    endpoint_usable : callable
        ``(service, endpoint, now_s)`` to bool.
    endpoint_changes : callable
        Returns a value that differs once an event may have changed the usable endpoints.
    live_members : callable
        Returns the live members that take work.
    team_may_start, note_team_started, note_team_ended : callable
        The team quotas.
    retry_budget : RetryBudget
        Bounds retries by first sends.
    retry_delay_s : callable
        ``(retries)`` to seconds until the task is queued again.
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
