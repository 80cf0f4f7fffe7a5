"""What the key-value stand-in records about calls, and the faults that it can be told."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass

__all__ = ["CallRecord", "Faults", "change_faults"]

MAX_SECONDS = 3600  # length of the history of calls per second


@dataclass(slots=True)
class Faults:
    """Faults in force.

    Parameters
    ----------
    down : bool
        Calls are refused with status 503 and do nothing.
    drop_calls : bool
        Calls do nothing and their connection is closed with no answer.
    slow_s : float
        Delay of each call before it takes effect, seconds.
    slow_answer_s : float
        Delay of each answer after the call took effect, seconds.
    stale_s : float
        Age of the view that reads are served from, seconds.
    stale_versions : int
        Number of the latest writes that the view of reads lacks.
    lose_answers : int
        Number of writes whose answer is lost after they took effect; -1 for all.
    watch_dead : bool
        Watches never return, whatever is written.
    garbage : bool
        Calls take effect and are answered with bytes that are not JSON.
    """

    down: bool = False
    drop_calls: bool = False
    slow_s: float = 0.0
    slow_answer_s: float = 0.0
    stale_s: float = 0.0
    stale_versions: int = 0
    lose_answers: int = 0
    watch_dead: bool = False
    garbage: bool = False

    def loses_answer(self):
        """Return whether the answer to the present write is lost, and count it."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return True
        return self.lose_answers < 0


class CallRecord:
    """Counts of calls by purpose and kind, per second, and of concurrent watches."""

    def __init__(self):
        self.calls = defaultdict(Counter)
        self.per_second = {}
        self.watches = 0
        self.watches_max = 0

    def count(self, purpose, kind, *, now_s):
        """Count one call at its arrival."""
        self.calls[purpose][kind] += 1
        second = int(now_s)
        self.per_second.setdefault(second, Counter())[purpose] += 1
        while len(self.per_second) > MAX_SECONDS:
            del self.per_second[next(iter(self.per_second))]

    def watch_started(self):
        """Count a watch that starts to wait."""
        self.watches += 1
        self.watches_max = max(self.watches_max, self.watches)

    def watch_ended(self):
        """Count a watch that no longer waits."""
        self.watches -= 1

    def dump(self):
        """Return the record as plain data."""
        return {
            "calls": {purpose: dict(kinds) for purpose, kinds in self.calls.items()},
            "total": sum(kinds.total() for kinds in self.calls.values()),
            "watches": self.watches,
            "watches_max": self.watches_max,
            "per_second": [
                {"second": second, "total": counts.total(), "by_purpose": dict(counts)}
                for second, counts in self.per_second.items()
            ],
        }


def change_faults(faults, changes):
    """Return faults with some fields changed; unknown names raise TypeError."""
    return Faults(**{**asdict(faults), **changes})
