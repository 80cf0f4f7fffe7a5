"""Deduplication of the frames and requests received from one sender, without I/O.

A request is handled at most once. Its reply is kept until the sender's low-water mark passes it,
so that a repeated request gets the same reply. Requests below the mark are never handled.
"""

import collections
import enum
from dataclasses import dataclass, field

__all__ = ["FrameWindow", "RequestWindow", "Verdict"]

MAX_REQUESTS = 65_536  # requests remembered per sender
MAX_REPLY_BYTES = 4_000_000  # bytes of replies kept per sender
FRAME_WINDOW = 1024  # latest sequences per sender that are tracked one by one


@dataclass(slots=True)
class FrameWindow:
    """Sequence numbers of the latest frames received from one sender.

    Frames of an old connection may arrive after those of a new one. Frames that are `FRAME_WINDOW`
    or more behind the highest sequence count as duplicates.

    Examples
    --------
    >>> window = FrameWindow()
    >>> [window.admit(sequence) for sequence in (2, 1, 2, 1, 5000, 3, 4999)]
    [True, True, False, False, True, False, True]
    """

    highest: int = 0
    _received_bits: int = 0  # bit n: whether sequence `highest` - n was received

    def admit(self, sequence):
        """Record a frame and return whether it is new; one behind the window is not new."""
        behind = self.highest - sequence
        if behind < 0:
            self._received_bits = (self._received_bits << min(-behind, FRAME_WINDOW) | 1) & (
                (1 << FRAME_WINDOW) - 1
            )
            self.highest = sequence
            return True
        if behind >= FRAME_WINDOW or self._received_bits >> behind & 1:
            return False
        self._received_bits |= 1 << behind
        return True


class Verdict(enum.Enum):
    """State of a request at its receiver, which decides how to answer it or a status query.

    `PASSED` requests are below the sender's low-water mark. `REPLY_LOST` requests were handled, but
    their replies were dropped to bound memory. `EXPIRED` requests arrived after their deadline.
    """

    HANDLE = "handle"
    IN_PROGRESS = "in_progress"
    REPLIED = "replied"
    REPLY_LOST = "reply_lost"
    NOT_SEEN = "not_seen"
    PASSED = "passed"
    EXPIRED = "expired"


@dataclass(slots=True)
class RequestWindow:
    """Requests received from one sender, by correlation id.

    Parameters
    ----------
    max_requests : int
        Most requests to remember; beyond it the low-water mark is raised past the oldest.
    max_reply_bytes : int
        Most bytes of replies to keep; beyond it the oldest replies are dropped.

    Examples
    --------
    >>> window = RequestWindow()
    >>> window.admit(1, expired=False), window.admit(1, expired=False)
    (<Verdict.HANDLE: 'handle'>, <Verdict.IN_PROGRESS: 'in_progress'>)
    >>> window.finish(1, b"reply")
    >>> window.admit(1, expired=False), window.reply(1)
    (<Verdict.REPLIED: 'replied'>, b'reply')
    """

    max_requests: int = MAX_REQUESTS
    max_reply_bytes: int = MAX_REPLY_BYTES
    low_water: int = 0
    reply_bytes: int = 0
    _states: dict = field(default_factory=dict)
    _replies: collections.OrderedDict = field(default_factory=collections.OrderedDict)

    def __len__(self):
        return len(self._states)

    def admit(self, correlation, *, expired):
        """Record a request and return its verdict; `HANDLE` if it is to be handled now."""
        earlier = self.lookup(correlation)
        if earlier is not Verdict.NOT_SEEN:
            return earlier
        verdict = Verdict.EXPIRED if expired else Verdict.IN_PROGRESS
        self._states[correlation] = verdict
        self._bound_requests()
        return Verdict.EXPIRED if expired else Verdict.HANDLE

    def lookup(self, correlation):
        """Return the verdict on a request without recording it."""
        if correlation < self.low_water:
            return Verdict.PASSED
        return self._states.get(correlation, Verdict.NOT_SEEN)

    def reply(self, correlation):
        """Return the stored reply of a request in state `REPLIED`."""
        return self._replies[correlation]

    def finish(self, correlation, reply):
        """Store the reply of a handled request, unless it is below the low-water mark."""
        if correlation < self.low_water or correlation not in self._states:
            return
        self._states[correlation] = Verdict.REPLIED
        self._replies[correlation] = reply
        self.reply_bytes += len(reply)
        while self.reply_bytes > self.max_reply_bytes:
            oldest, lost = self._replies.popitem(last=False)
            self.reply_bytes -= len(lost)
            self._states[oldest] = Verdict.REPLY_LOST

    def raise_low_water(self, low_water):
        """Forget every request below `low_water`; none of them is handled from now on."""
        if low_water <= self.low_water:
            return
        if low_water - self.low_water > len(self._states):
            passed = [correlation for correlation in self._states if correlation < low_water]
        else:
            passed = range(self.low_water, low_water)
        for correlation in passed:
            self._forget(correlation)
        self.low_water = low_water

    def _forget(self, correlation):
        self._states.pop(correlation, None)
        reply = self._replies.pop(correlation, None)
        if reply is not None:
            self.reply_bytes -= len(reply)

    def _bound_requests(self):
        while len(self._states) > self.max_requests:
            self.raise_low_water(next(iter(self._states)) + 1)
