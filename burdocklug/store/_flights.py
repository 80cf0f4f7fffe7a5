"""Coalescing of identical concurrent calls."""

__all__ = ["CallKilled", "InFlightCalls"]


class CallKilled(Exception):
    """The greenlet that made a shared call was killed before the call finished."""


class InFlightCall:
    """A call in flight; the event is created when another caller first waits for it."""

    def __init__(self):
        self.event = None

    def wait(self):
        """Wait until the call finishes; return its result or raise its exception."""
        if self.event is None:
            from eventlet.event import Event

            self.event = Event()
        return self.event.wait()

    def set_result(self, result):
        """Return a result to all waiting callers."""
        if self.event is not None:
            self.event.send(result)

    def set_exception(self, exc):
        """Raise an exception in all waiting callers."""
        if self.event is not None:
            self.event.send_exception(exc)


class InFlightCalls:
    """Calls in flight by key; a caller of the same key waits for the earlier call's result.

    Examples
    --------
    >>> calls = InFlightCalls()
    >>> calls.run("a", lambda: 3)
    3
    """

    def __init__(self):
        self._calls = {}

    def is_in_flight(self, key):
        """Return whether `run` would wait for a call that is in flight."""
        return key in self._calls

    def run(self, key, call):
        """Return the result of `call()`, or of the call in flight under the same key.

        Raises
        ------
        CallKilled
            If the greenlet that made the shared call was killed.
        Exception
            Any exception of the call.
        """
        if key in self._calls:
            return self._calls[key].wait()
        in_flight = self._calls[key] = InFlightCall()
        try:
            result = call()
        except Exception as exc:
            self._remove(key, in_flight)
            in_flight.set_exception(exc)
            raise
        except BaseException:
            self._remove(key, in_flight)
            in_flight.set_exception(CallKilled())
            raise
        self._remove(key, in_flight)
        in_flight.set_result(result)
        return result

    def forget(self, matches):
        """Stop sharing the matching calls; callers that already wait still get the result.

        Parameters
        ----------
        matches : callable
            Takes a key and returns whether its call is no longer shared.
        """
        for key in [key for key in self._calls if matches(key)]:
            del self._calls[key]

    def _remove(self, key, in_flight):
        if self._calls.get(key) is in_flight:
            del self._calls[key]
