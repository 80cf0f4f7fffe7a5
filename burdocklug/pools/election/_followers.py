"""Heartbeats that a scheduler received from the processes that follow it."""

__all__ = ["Followers"]


class Followers:
    """Last heartbeat and usable cores of each follower, and the times of the replies to it.

    Parameters
    ----------
    timeout_s : float
        Seconds after its last heartbeat for which a follower counts as live.

    Attributes
    ----------
    last_heartbeat_s : dict
        Time of each follower's last heartbeat, by incarnation.
    acknowledged_s : dict
        Time of the last reply that each follower is known to have received, or of its first
        heartbeat; a follower that does not receive replies takes this process for lost.
    """

    def __init__(self, *, timeout_s):
        self._timeout_s = timeout_s
        self.last_heartbeat_s = {}
        self.acknowledged_s = {}
        self._reply_sequences = {}
        self._cores = {}
        self._versions = {}
        self._replied_s = {}

    def note_heartbeat(self, sender, message, now_s):
        """Record a `FollowerHeartbeat` that is replied to at `now_s`."""
        self.last_heartbeat_s[sender] = now_s
        self._cores[sender] = message.usable_cores
        self._versions[sender] = message.configuration_version
        before = self._reply_sequences.get(sender)
        self._reply_sequences[sender] = message.reply_sequence
        replied_s = self._replied_s.get((sender, message.reply_sequence))
        if replied_s is not None:
            self.acknowledged_s[sender] = replied_s
        elif message.reply_sequence == 0 and before != 0:
            self.acknowledged_s[sender] = now_s  # it has just begun to follow
        self._replied_s[sender, message.sequence] = now_s
        for key in [k for k, sent_s in self._replied_s.items() if now_s - sent_s > self._timeout_s]:
            del self._replied_s[key]

    def max_message_age_s(self, sender, reply_sequence, now_s):
        """Return an upper bound of the age of a message.

        A message that names a heartbeat reply was sent after that reply.

        Returns
        -------
        float or None
            Seconds since the reply `reply_sequence`; None if that reply is no longer remembered.
        """
        sent_s = self._replied_s.get((sender, reply_sequence))
        return None if sent_s is None else now_s - sent_s

    def count_live(self, members, now_s):
        """Return how many of the members are live followers."""
        return sum(
            now_s - self.last_heartbeat_s.get(member, 0.0) < self._timeout_s for member in members
        )

    def versions_behind(self, version, now_s):
        """Return the configuration versions of live followers that are below `version`, sorted."""
        return sorted(
            known
            for follower, known in self._versions.items()
            if known < version and now_s - self.last_heartbeat_s[follower] < self._timeout_s
        )

    def live_cores(self, now_s):
        """Return the usable cores of the live followers' hosts, by incarnation."""
        return {
            i: c
            for i, c in self._cores.items()
            if now_s - self.last_heartbeat_s[i] < self._timeout_s
        }
