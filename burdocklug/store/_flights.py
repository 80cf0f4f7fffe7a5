"""Coalescing of identical reads that run at the same time."""

__all__ = ["Abandoned", "Flights"]


class Abandoned(Exception):
    """The call that others waited for was killed before it had an answer."""


class Flight:
    """One call under way; the event exists once somebody else waits for the answer."""

    def __init__(self):
        self.event = None

    def join(self):
        """Wait for the answer, and return or raise it."""
        if self.event is None:
            from eventlet.event import Event

            self.event = Event()
        return self.event.wait()

    def land(self, result):
        """Give the answer to all who wait."""
        if self.event is not None:
            self.event.send(result)

    def fail(self, exc):
        """Give an exception to all who wait."""
        if self.event is not None:
            self.event.send_exception(exc)


class Flights:
    """Calls under way by key; a second caller of the same key waits for the first one's answer.

    Examples
    --------
    >>> flights = Flights()
    >>> flights.run("a", lambda: 3)
    3
    """

    def __init__(self):
        self._flights = {}

    def under_way(self, key):
        """Return whether `run` would wait for the answer to an earlier call."""
        return key in self._flights

    def run(self, key, call):
        """Return the result of `call()` or of an equal call that is under way.

        Raises
        ------
        Abandoned
            If the greenlet that made the call was killed.
        Exception
            Whatever the call raised.
        """
        if key in self._flights:
            return self._flights[key].join()
        flight = self._flights[key] = Flight()
        try:
            result = call()
        except Exception as exc:
            self._end(key, flight)
            flight.fail(exc)
            raise
        except BaseException:
            self._end(key, flight)
            flight.fail(Abandoned())
            raise
        self._end(key, flight)
        flight.land(result)
        return result

    def forget(self, matches):
        """Let later callers make calls of their own; those who wait already go on waiting.

        Parameters
        ----------
        matches : callable
            Takes a key and returns whether to forget the call under it.
        """
        for key in [key for key in self._flights if matches(key)]:
            del self._flights[key]

    def _end(self, key, flight):
        if self._flights.get(key) is flight:
            del self._flights[key]
