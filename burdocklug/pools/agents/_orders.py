"""Interface for sending orders to endpoints, and the errors that an order can raise."""

import abc

from burdocklug.kernel import Registry

__all__ = [
    "EndpointOrders",
    "OrderFenced",
    "OrderRefused",
    "OrderUnanswered",
    "OtherIncarnation",
    "RefusalReason",
    "order_protocols",
]

order_protocols = Registry("order protocol")


class RefusalReason:
    """Why an endpoint refused a start; nothing was started."""

    NO_CAPACITY = "room"
    OLD_ATTEMPT = "old_attempt"
    LATE = "late"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class OrderUnanswered(Exception):
    """No valid answer arrived; the order may have been, or may still be, carried out."""


class OrderRefused(Exception):
    """The endpoint refused the order and did nothing; `reason` is one of `RefusalReason`."""

    def __init__(self, reason, clock_ms=None):
        super().__init__(reason)
        self.reason = reason
        self.clock_ms = clock_ms


class OrderFenced(Exception):
    """The endpoint has seen a higher fencing token; `clock_ms` is its clock."""

    def __init__(self, clock_ms):
        super().__init__(f"fenced at {clock_ms}")
        self.clock_ms = clock_ms


class OtherIncarnation(Exception):
    """Another incarnation of the endpoint answered at the address and did nothing."""


class EndpointOrders(abc.ABC):
    """Orders to endpoints; an implementation registers itself in `order_protocols`.

    Notes
    -----
    `entry` is the `EndpointEntry` of the endpoint, `token` the fencing token of the caller. Lease
    times are on the endpoint's clock, in milliseconds. All calls raise `OrderUnanswered`,
    `OrderFenced` and `OtherIncarnation`.
    """

    @abc.abstractmethod
    def start(self, entry, *, task, attempt, payload, lease_ms, token, timeout_s):
        """Start a run and return the endpoint's clock; also raises `OrderRefused`."""

    @abc.abstractmethod
    def stop(self, entry, *, task, attempt, token, timeout_s):
        """Stop a run, or make the endpoint refuse its start if that arrives later."""

    @abc.abstractmethod
    def renew(self, entry, *, token, acknowledged, lease_ms, wait_s, timeout_s):
        """Renew the lease of all active runs and return a `RunReport`.

        Parameters
        ----------
        acknowledged : int
            Number of the last end that was processed; the endpoint forgets ends up to it.
        lease_ms : int or None
            End of the renewed lease; None renews nothing.
        wait_s : float
            Seconds that the endpoint may wait for a run to end before it answers.
        """

    @abc.abstractmethod
    def retire(self, entry):
        """Reuse none of the open connections to the endpoint."""
