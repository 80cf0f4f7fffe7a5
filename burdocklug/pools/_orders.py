"""The interface by which a pool gives orders to endpoints, and the errors of an order."""

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

    ROOM = "room"
    OLD_ATTEMPT = "old_attempt"
    LATE = "late"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class OrderUnanswered(Exception):
    """No valid answer came; the order may be carried out, also later."""


class OrderRefused(Exception):
    """The endpoint did nothing; `reason` is one of `RefusalReason`."""

    def __init__(self, reason, clock_ms=None):
        super().__init__(reason)
        self.reason = reason
        self.clock_ms = clock_ms


class OrderFenced(Exception):
    """The endpoint obeys a holder with a higher fencing token; `clock_ms` is its clock."""

    def __init__(self, clock_ms):
        super().__init__(f"fenced at {clock_ms}")
        self.clock_ms = clock_ms


class OtherIncarnation(Exception):
    """Another incarnation answers at the address; nothing was done."""


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
        """Stop a run, or make the endpoint refuse it should the start come later."""

    @abc.abstractmethod
    def renew(self, entry, *, token, acknowledged, lease_ms, wait_s, timeout_s):
        """Renew the lease of all that runs and return a `RunReport`.

        Parameters
        ----------
        acknowledged : int
            Ends up to this number are forgotten by the endpoint.
        lease_ms : int or None
            Until when runs may go on; None renews nothing.
        wait_s : float
            Seconds that the endpoint may wait for an end before it answers.
        """

    @abc.abstractmethod
    def retire(self, entry):
        """Use no open connection to the endpoint again."""
