"""Windows of requests and frames that a receiver has had from one sender: pure state.

A request is handled at most once. Its reply is kept until the sender's low-water mark passes it,
so that a repeated request gets the same reply. Requests below the mark are never handled.
"""

import collections
import enum
from dataclasses import dataclass, field

__all__ = ["FrameWindow", "RequestWindow", "Verdict"]

MAX_REQUESTS = 65_536  # remembered for each sender
MAX_REPLY_BYTES = 4_000_000  # kept for each sender
FRAMES = 1024  # by which frames of an old connection may come late


@dataclass(slots=True)
class FrameWindow:
    """Sequence numbers of the frames had from one sender, of the latest ones one by one.

    Examples
    --------
    >>> window = FrameWindow()
    >>> [window.admit(sequence) for sequence in (2, 1, 2, 1, 5000, 3, 4999)]
    [True, True, False, False, True, False, True]
    """

    highest: int = 0
    _had: int = 0  # bit n stands for `highest` - n

    def admit(self, sequence):
        """Return whether a frame is new, and remember it; one that is too late is not."""
        behind = self.highest - sequence
        if behind < 0:
            self._had = (self._had << min(-behind, FRAMES) | 1) & ((1 << FRAMES) - 1)
            self.highest = sequence
            return True
        if behind >= FRAMES or self._had >> behind & 1:
            return False
        self._had |= 1 << behind
        return True


class Verdict(enum.Enum):
    """What to do with a request or with a question for its reply."""

    HANDLE = "handle"
    IN_PROGRESS = "in_progress"
    REPLIED = "replied"
    REPLY_LOST = "reply_lost"
    NOT_SEEN = "not_seen"
    PASSED = "passed"
    EXPIRED = "expired"


@dataclass(slots=True)
class RequestWindow:
    """Requests of one sender by correlation id.

    Parameters
    ----------
    max_requests : int
        Bound of the remembered requests; the mark is raised beyond it.
    max_reply_bytes : int
        Bound of the kept replies; the oldest are forgotten beyond it.

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
    mark: int = 0
    reply_bytes: int = 0
    _states: dict = field(default_factory=dict)
    _replies: collections.OrderedDict = field(default_factory=collections.OrderedDict)

    def __len__(self):
        return len(self._states)

    def admit(self, correlation, *, expired):
        """Return what to do with a request, and remember it."""
        known = self.ask(correlation)
        if known is not Verdict.NOT_SEEN:
            return known
        verdict = Verdict.EXPIRED if expired else Verdict.IN_PROGRESS
        self._states[correlation] = verdict
        self._bound_requests()
        return Verdict.EXPIRED if expired else Verdict.HANDLE

    def ask(self, correlation):
        """Return what is known of a request, without remembering it."""
        if correlation < self.mark:
            return Verdict.PASSED
        return self._states.get(correlation, Verdict.NOT_SEEN)

    def reply(self, correlation):
        """Return the kept reply of a request in state REPLIED."""
        return self._replies[correlation]

    def finish(self, correlation, reply):
        """Keep the reply of a handled request, unless the mark has passed it."""
        if correlation < self.mark or correlation not in self._states:
            return
        self._states[correlation] = Verdict.REPLIED
        self._replies[correlation] = reply
        self.reply_bytes += len(reply)
        while self.reply_bytes > self.max_reply_bytes:
            oldest, lost = self._replies.popitem(last=False)
            self.reply_bytes -= len(lost)
            self._states[oldest] = Verdict.REPLY_LOST

    def raise_mark(self, mark):
        """Forget every request below `mark`; they will not be handled any more."""
        if mark <= self.mark:
            return
        if mark - self.mark > len(self._states):
            passed = [correlation for correlation in self._states if correlation < mark]
        else:
            passed = range(self.mark, mark)
        for correlation in passed:
            self._forget(correlation)
        self.mark = mark

    def _forget(self, correlation):
        self._states.pop(correlation, None)
        reply = self._replies.pop(correlation, None)
        if reply is not None:
            self.reply_bytes -= len(reply)

    def _bound_requests(self):
        while len(self._states) > self.max_requests:
            self.raise_mark(next(iter(self._states)) + 1)
