"""The interface to endpoints and the registry of its implementations."""

from burdocklug.kernel import Registry

__all__ = ["EndpointProtocol", "endpoint_protocols"]

endpoint_protocols = Registry("endpoint protocol")


class EndpointProtocol:
    """What the dispatcher needs of endpoints; an implementation registers itself.

    Notes
    -----
    All times are seconds, all addresses ``IP:port``.
    """

    def start(self, address, attempt, *, timeout_s):
        """Start an attempt and wait for its result.

        Parameters
        ----------
        address : str
            The endpoint.
        attempt : Attempt
            What to run.
        timeout_s : float
            Seconds until the call gives up.

        Returns
        -------
        AttemptResult
            The whole answer, its identity checked.

        Raises
        ------
        NotStarted
            If the task was certainly not started and this attempt can't start later.
        MaybeStarted
            In every other case without a whole valid answer.
        """
        raise NotImplementedError

    def ask(self, address, attempt_id, *, timeout_s, wait_s=0.0):
        """Ask on a new connection what became of an attempt, and fence it if unknown.

        Parameters
        ----------
        wait_s : float
            Seconds that the endpoint may wait for the end of a running attempt.

        Returns
        -------
        AttemptState
            The state; NOT_STARTED means that the endpoint will never start the attempt.

        Raises
        ------
        EndpointSilent
            If there was no valid answer.
        """
        raise NotImplementedError

    def cancel(self, address, attempt_ids, *, timeout_s):
        """Stop running attempts; raises `EndpointSilent` without a valid answer."""
        raise NotImplementedError

    def status(self, address, *, timeout_s):
        """Return the `EndpointStatus`; raises `EndpointSilent` without a valid answer."""
        raise NotImplementedError

    def close_idle(self, now_s):
        """Close connections that have been idle for too long."""
        raise NotImplementedError

    def retire(self, address):
        """Use no open connection to `address` again."""
        raise NotImplementedError
