"""Links between processes, endpoints and the store in virtual time: cuts and limited rates."""

import collections

import eventlet
import msgspec
from eventlet import hubs
from eventlet.semaphore import Semaphore

__all__ = ["Links", "message_bytes", "now_s"]

PIECE_BYTES = 16_384  # transfers over one link take turns after so many bytes

_encoder = msgspec.msgpack.Encoder()


def now_s():
    """Return the virtual time."""
    return hubs.get_hub().clock()


def message_bytes(message):
    """Return the size of a message between processes."""
    return len(_encoder.encode(message))


class Links:
    """Which of processes, endpoints and the store reach each other; cuts may be one-way.

    Attributes
    ----------
    bytes_per_s : dict
        Rate of the link of each host whose link is limited, by name.
    """

    def __init__(self):
        self.bytes_per_s = {}
        self._cuts = {}
        self._busy_until_s = {}
        self._connections = collections.defaultdict(Semaphore)

    def cut(self, key, senders, receivers):
        """Lose all that `senders` send to `receivers` until `heal` is called with the key."""
        self._cuts[key] = (frozenset(senders), frozenset(receivers))

    def heal(self, key):
        self._cuts.pop(key, None)

    def is_open(self, sender, receiver):
        return not any(sender in one and receiver in other for one, other in self._cuts.values())

    def carry(self, sender, receiver, size, *, on_piece=lambda: None):
        """Wait until `size` bytes have arrived; transfers over the same link share its rate."""
        while size > 0:
            piece = min(size, PIECE_BYTES)
            for name in (sender, receiver):
                self._occupy(name, piece)
            on_piece()
            size -= piece

    def carry_in_order(self, sender, receiver, size):
        """Wait until `size` bytes have arrived, after all that was sent on the same connection."""
        with self._connections[sender, receiver]:
            self.carry(sender, receiver, size)

    def _occupy(self, name, size):
        rate = self.bytes_per_s.get(name)
        if rate is not None:
            now = now_s()
            until_s = max(now, self._busy_until_s.get(name, now)) + size / rate
            self._busy_until_s[name] = until_s
            eventlet.sleep(until_s - now)
