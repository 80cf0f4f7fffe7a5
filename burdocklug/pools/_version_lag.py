"""Versions that a process has heard of and does not have yet, and for how long."""

__all__ = ["VersionLag"]

MAX_MISSING = 100  # versions of which the time is remembered


class VersionLag:
    """Newest version that a process has heard of, and since when it lacks a newer one than its own.

    Attributes
    ----------
    newest : int
        Newest version heard of or taken; 0 for none.

    Examples
    --------
    >>> lag = VersionLag()
    >>> lag.note_heard(12, now_s=3.0), lag.note_heard(12, now_s=4.0), lag.note_heard(16, now_s=5.0)
    (True, False, True)
    >>> lag.behind_s(7.0)
    4.0
    >>> lag.note_taken(12)
    >>> lag.behind_s(7.0)
    2.0
    >>> lag.note_taken(16)
    >>> lag.behind_s(7.0)
    0.0
    """

    def __init__(self):
        self.newest = 0
        self._missing = []  # version and time of each one heard of and not taken, ascending

    def note_heard(self, version, now_s):
        """Record that another process has a version; return whether it is the newest so far."""
        if version <= self.newest:
            return False
        self.newest = version
        if len(self._missing) == MAX_MISSING:
            _, now_s = self._missing.pop()
        self._missing.append((version, now_s))
        return True

    def note_taken(self, version):
        """Record that a version is in force in this process."""
        self.newest = max(self.newest, version)
        self._missing = [(other, heard_s) for other, heard_s in self._missing if other > version]

    @property
    def is_behind(self):
        """Whether a newer version than the one in force is known to exist."""
        return bool(self._missing)

    def behind_s(self, now_s):
        """Return the time since a newer version than the one in force was heard of, in seconds."""
        return now_s - self._missing[0][1] if self._missing else 0.0
