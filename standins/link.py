"""Stand-in for the network between two processes: a TCP forwarder with faults.

``python -m standins.link --listen A --to B --control C`` forwards connections from A to B; the
options ``--listen`` and ``--to`` may be repeated in pairs. At C it serves:

================  ============================================================================
``POST /mode``    ``{mode, scope?, direction?, delay_s?, listen?}``; `listen` picks one link
``GET /record``   for each link: mode, connections accepted and open, bytes each way
``GET /health``   ``{"ok": true}``
================  ============================================================================

Modes:

- ``forward``: pass bytes, each after `delay_s`.
- ``cut``: reset open connections, refuse new ones.
- ``silent``: keep connections open and pass no byte and no close. A connection that once went
  silent stays so for good. With scope ``existing`` only those open now go silent and new ones
  work; with ``all`` new ones are accepted and silent too. The direction is ``both``,
  ``to_server`` or ``to_client``.
"""

import argparse
import socket
import struct
import time
from dataclasses import dataclass, field

import eventlet
from eventlet.queue import LightQueue

from standins._http import parse_address, serve_json

__all__ = ["Link", "main"]

CHUNK_BYTES = 65536
QUEUED_CHUNKS = 64  # in flight each way of one connection while a delay is set
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CONNECTION_ENDED = (OSError, EOFError)  # eventlet wakes the readers of a closed socket by EOFError
DIRECTIONS = {
    "both": frozenset({"to_server", "to_client"}),
    "to_server": frozenset({"to_server"}),
    "to_client": frozenset({"to_client"}),
}


@dataclass(eq=False, slots=True)
class Connection:
    """A client's socket, the server's socket, the directions that are silent, and the readers."""

    client: socket.socket
    server: socket.socket | None = None
    silent: frozenset = frozenset()
    ended: set = field(default_factory=set)
    readers: list = field(default_factory=list)


class Link:
    """Forwards one listening address to another.

    Parameters
    ----------
    listen, to : str
        Addresses, each ``IP:port``.
    """

    def __init__(self, listen, to):
        self.listen = listen
        self.to = to
        self.mode = "forward"
        self.delay_s = 0.0
        self.accepted = 0
        self.bytes = {"to_server": 0, "to_client": 0}
        self._silence_new = frozenset()
        self._connections = set()
        self._listener = None
        self._accepting = None
        self._open_listener()

    def set_mode(self, mode, *, scope="existing", direction="both", delay_s=0.0):
        """Change the mode; see the module's text.

        Raises
        ------
        ValueError
            For an unknown mode, scope or direction.
        """
        if mode not in ("forward", "cut", "silent") or scope not in ("existing", "all"):
            raise ValueError(f"unknown mode {mode!r} or scope {scope!r}")
        if direction not in DIRECTIONS:
            raise ValueError(f"unknown direction {direction!r}")
        self.mode = mode
        self.delay_s = delay_s
        silent = DIRECTIONS[direction] if mode == "silent" else frozenset()
        self._silence_new = silent if scope == "all" else frozenset()
        for conn in self._connections:
            conn.silent |= silent
        if mode == "cut":
            self._cut()
        else:
            self._open_listener()

    def dump(self):
        """Return mode and counts as plain data."""
        return {
            "listen": self.listen,
            "to": self.to,
            "mode": self.mode,
            "accepted": self.accepted,
            "open": len(self._connections),
            "silent": sum(1 for conn in self._connections if conn.silent),
            "bytes": dict(self.bytes),
        }

    def _open_listener(self):
        if self._listener is None:
            self._listener = eventlet.listen(parse_address(self.listen), backlog=1024)
            self._accepting = eventlet.spawn(self._accept, self._listener)

    def _cut(self):
        if self._listener is not None:
            self._accepting.kill()
            self._listener.close()
            self._listener = None
        for conn in list(self._connections):
            self._reset(conn)

    def _accept(self, listener):
        while True:
            client, _ = listener.accept()
            self.accepted += 1
            conn = Connection(client, silent=self._silence_new)
            self._connections.add(conn)
            eventlet.spawn(self._connect, conn)

    def _connect(self, conn):
        if conn.silent == DIRECTIONS["both"]:
            return
        try:
            conn.server = eventlet.connect(parse_address(self.to))
        except OSError:
            self._reset(conn)
            return
        if conn not in self._connections:
            conn.server.close()
            return
        for sock in (conn.client, conn.server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pump(conn, conn.client, conn.server, "to_server")
        self._pump(conn, conn.server, conn.client, "to_client")

    def _pump(self, conn, source, sink, direction):
        chunks = LightQueue(QUEUED_CHUNKS)
        conn.readers.append(eventlet.spawn(self._read, conn, source, chunks))
        eventlet.spawn(self._write, conn, sink, chunks, direction)

    def _read(self, conn, source, chunks):
        data = b"-"
        while data:
            try:
                data = source.recv(CHUNK_BYTES)
            except CONNECTION_ENDED:
                data = None  # a reset, passed on as one
            chunks.put((time.monotonic() + self.delay_s, data))

    def _write(self, conn, sink, chunks, direction):
        while True:
            due_s, data = chunks.get()
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            if direction in conn.silent:
                return
            if data is None:
                self._reset(conn)
                return
            try:
                if not data:
                    self._end(conn, sink, direction)
                    return
                sink.sendall(data)
            except CONNECTION_ENDED:
                self._reset(conn)
                return
            self.bytes[direction] += len(data)

    def _end(self, conn, sink, direction):
        sink.shutdown(socket.SHUT_WR)
        conn.ended.add(direction)
        if conn.ended == DIRECTIONS["both"]:
            self._connections.discard(conn)
            conn.client.close()
            conn.server.close()

    def _reset(self, conn):
        self._connections.discard(conn)
        # The loop would keep a reader of a closed descriptor, whose number the next socket may get.
        readers, conn.readers = conn.readers, []
        for reader in readers:
            reader.kill()
        for sock in (conn.client, conn.server):
            if sock is None:
                continue
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            except OSError:
                pass  # closed by its peer already
            sock.close()


def _control(links, method, path, body):
    if (method, path) == ("GET", "/health"):
        return 200, {"ok": True}
    if (method, path) == ("GET", "/record"):
        return 200, {"links": [link.dump() for link in links]}
    if (method, path) != ("POST", "/mode"):
        return 404, {"error": "not_found"}
    try:
        options = dict(body)
        listen = options.pop("listen", None)
        for link in links:
            if listen in (None, link.listen):
                link.set_mode(**options)
    except (TypeError, ValueError) as exc:
        return 400, {"error": "bad_request", "detail": str(exc)}
    return 200, {}


def main(argv=None):
    """Run the stand-in until a signal ends it."""
    parser = argparse.ArgumentParser(prog="standins.link")
    parser.add_argument("--listen", action="append", required=True, metavar="IP:PORT")
    parser.add_argument("--to", action="append", required=True, metavar="IP:PORT")
    parser.add_argument("--control", type=parse_address, required=True, metavar="IP:PORT")
    args = parser.parse_args(argv)
    if len(args.listen) != len(args.to):
        parser.error("--listen and --to come in pairs")
    links = [Link(listen, to) for listen, to in zip(args.listen, args.to, strict=True)]
    serve_json(
        eventlet.listen(args.control),
        lambda method, path, body: _control(links, method, path, body),
    )


if __name__ == "__main__":
    main()
