"""Network of one cell: the messages of several schedulers over the network of one process."""

import msgspec

from burdocklug.peers import MessageTypes

__all__ = ["CellNetworks", "CellMessage", "CellRequest"]


class CellMessage(msgspec.Struct, frozen=True, array_like=True, tag="pool_cell"):
    """A message for one cell, other than the first, that is handled without blocking."""

    cell: int
    body: bytes


class CellRequest(msgspec.Struct, frozen=True, array_like=True, tag="pool_cell_ask"):
    """A message for one cell, other than the first, whose handler may block."""

    cell: int
    body: bytes


class CellNetworks:
    """Networks of a process's cells.

    The messages of the first cell are sent as they are, so that a pool of one cell pays nothing.

    Parameters
    ----------
    network : PeerNetwork
        Network of the process.
    """

    def __init__(self, network):
        self._network = network
        self._types = MessageTypes()
        self._cells = {}
        self._on_refused = []
        network.register(CellMessage, self._on_message, inline=True)
        network.register(CellRequest, self._on_message)
        network.on_connection_refused(self._note_refused)

    def for_cell(self, number):
        """Return the network of one cell; called once for each cell."""
        cell = self._cells[number] = _CellNetwork(self, self._network, self._types, number)
        return cell

    def add_refused_callback(self, callback):
        """Call `callback` with the incarnation of each peer that refuses connections."""
        self._on_refused.append(callback)

    def _note_refused(self, incarnation):
        for callback in self._on_refused:
            callback(incarnation)

    def _on_message(self, sender, message):
        """Pass a message on to its cell; a cell that this process doesn't have yet ignores it."""
        cell = self._cells.get(message.cell)
        return cell.handle(sender, self._types.decode(message.body)) if cell is not None else None


class _CellNetwork:
    """The part of `PeerNetwork` that a cell uses, for one cell."""

    def __init__(self, networks, network, types, number):
        self._networks = networks
        self._network = network
        self._types = types
        self._number = number
        self._handlers = {}

    @property
    def incarnation(self):
        """Incarnation of this process."""
        return self._network.incarnation

    @property
    def failure_domain(self):
        """Failure domain of this process."""
        return self._network.failure_domain

    def on_connection_refused(self, callback):
        """Call `callback` with the incarnation of each peer that refuses connections."""
        self._networks.add_refused_callback(callback)

    def register(self, message_type, handler=None, *, inline=False):
        """Register a message type, and a handler of its messages if there is one."""
        self._types.add(message_type)
        if self._number == 0:
            self._network.register(message_type, handler, inline=inline)
            return
        self._network.register(message_type)
        if handler is not None:
            self._handlers[message_type] = handler, inline

    def handle(self, sender, message):
        """Return the reply of this cell's handler."""
        handler, _inline = self._handlers[type(message)]
        return handler(sender, message)

    def send(self, incarnation, message):
        """Send a one-way message without a guarantee of delivery."""
        self._network.send(incarnation, self._wrap(message))

    def call(self, incarnation, message, *, timeout_s):
        """Send a message and wait for its reply; see `PeerNetwork.call`."""
        return self._network.call(incarnation, self._wrap(message), timeout_s=timeout_s)

    def _wrap(self, message):
        """Return the message in the envelope of its cell.

        Replies travel without one, so a type that this cell has no handler for is a reply.
        """
        if self._number == 0 or type(message) not in self._handlers:
            return message
        _handler, inline = self._handlers[type(message)]
        envelope = CellMessage if inline else CellRequest
        return envelope(self._number, self._types.encode(message))
