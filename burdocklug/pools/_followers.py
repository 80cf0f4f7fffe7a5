"""What a scheduler knows of the processes that follow it."""

__all__ = ["Followers"]


class Followers:
    """When each follower was heard, what its host carries, and which answers it was sent.

    Parameters
    ----------
    keep_s : float
        Seconds for which a sign of a follower counts.

    Attributes
    ----------
    last_heard : dict
        When each follower was heard last, by incarnation.
    """

    def __init__(self, *, keep_s):
        self._keep_s = keep_s
        self.last_heard = {}
        self._powers = {}
        self._answered_s = {}

    def note(self, sender, message, now_s):
        """Take in a `Follow` that is answered now."""
        self.last_heard[sender] = now_s
        self._powers[sender] = message.power
        self._answered_s[sender, message.sequence] = now_s
        for key in [k for k, sent_s in self._answered_s.items() if now_s - sent_s > self._keep_s]:
            del self._answered_s[key]

    def message_age_s(self, sender, heard_sequence, now_s):
        """Return an upper bound of the age of a message, by the last answer its sender had.

        Returns
        -------
        float or None
            None where the answer is too long ago to be remembered.
        """
        sent_s = self._answered_s.get((sender, heard_sequence))
        return None if sent_s is None else now_s - sent_s

    def count(self, members, now_s):
        """Return how many of the members were heard lately."""
        return sum(now_s - self.last_heard.get(member, 0.0) < self._keep_s for member in members)

    def powers(self, now_s):
        """Return what the hosts of followers that were heard lately carry, by incarnation."""
        return {i: p for i, p in self._powers.items() if now_s - self.last_heard[i] < self._keep_s}
