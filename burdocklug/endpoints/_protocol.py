"""The interface to endpoints and the registry of its implementations."""

from burdocklug.kernel import Registry

__all__ = ["EndpointProtocol", "endpoint_protocols"]

endpoint_protocols = Registry("endpoint protocol")


class EndpointProtocol:
    """Interface to endpoints; implementations register in `endpoint_protocols`.

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
            The attempt to run.
        timeout_s : float
            Seconds until the call gives up.

        Returns
        -------
        AttemptResult
            The complete response, whose ids match the attempt.

        Raises
        ------
        NotStarted
            If the attempt did not start the task and can't start it later.
        MaybeStarted
            In every other case without a complete valid response.
        """
        raise NotImplementedError

    def query_attempt(self, address, attempt_id, *, timeout_s, wait_s=0.0):
        """Query the state of an attempt on a new connection, and fence it if it is unknown there.

        Parameters
        ----------
        wait_s : float
            Longest time in seconds for which the endpoint may delay its response while the attempt
            runs.

        Returns
        -------
        AttemptState
            The reported state; NOT_STARTED means that the endpoint will never start the attempt.

        Raises
        ------
        EndpointUnresponsive
            If there is no valid response.
        """
        raise NotImplementedError

    def cancel(self, address, attempt_ids, *, timeout_s):
        """Cancel attempts; raise `EndpointUnresponsive` without a valid response."""
        raise NotImplementedError

    def status(self, address, *, timeout_s):
        """Return the `EndpointStatus`; raise `EndpointUnresponsive` without a valid response."""
        raise NotImplementedError

    def close_idle(self, now_s):
        """Close connections that have been idle for too long."""
        raise NotImplementedError

    def retire(self, address):
        """Stop using the connections that are open to `address`."""
        raise NotImplementedError
