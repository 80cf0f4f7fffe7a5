"""Stand-in for the network: TCP forwarders that can cut zones off and silence idle connections.

``python3 -m review.standins.network SPEC`` reads a JSON file with ``control`` (an address) and
``links``: rows of ``listen``, ``to`` and ``zone``, the zone of the process behind the link. At
``control`` it takes one JSON object a connection:

- ``{"owners": {PID: ZONE}}``: the zones of the processes that open connections;
- ``{"cut": ZONES}``: no byte passes between these zones and the others, on open connections and on
  new ones; ``[]`` ends the cut, and what was held up goes on, as retransmissions would; with
  ``"store": true`` these zones do not reach the store either;
- ``{"silence_idle_s": S}``: connections without a byte for S seconds go silent for good.
"""

import asyncio
import errno
import json
import os
import socket
import struct
import sys
import time

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
POLL_S = 0.01
NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST = 4, 20, 1
PLATFORM = "platform"  # the zone of the store


class Connection:
    """One forwarded connection; `ends` are the ports of its client and of the link."""

    def __init__(self, ends, target):
        self.ends = ends
        self.source = None  # looked up when there is a cut
        self.target = target
        self.writers = []
        self.is_silent = False
        self.moved_s = time.monotonic()


class Network:
    """All links, with the state of the cut."""

    def __init__(self):
        self.owners = {}
        self.cut = frozenset()
        self.cuts_store = False
        self.connections = set()
        self._zones = {}  # by inode

    def is_cut(self, conn):
        """Return whether no byte may pass on a connection now."""
        if not self.cut or (conn.target == PLATFORM and not self.cuts_store):
            return False
        if conn.source is None:
            conn.source = self._source_of(conn)
        return (conn.source in self.cut) != (conn.target in self.cut)

    def _source_of(self, conn):
        inode = _inode_of(*conn.ends)
        if inode is not None and inode not in self._zones:
            self._zones = _read_zones(self.owners)
        return self._zones.get(inode, conn.target)

    def start_cut(self, zones, *, store):
        """Cut zones off from the others, and from the store or not; none for the end of a cut."""
        self.cuts_store = store
        self._zones = _read_zones(self.owners)
        self.cut = frozenset(zones)
        for conn in self.connections:
            self.is_cut(conn)

    async def open_link(self, row):
        """Forward the connections to one address."""
        host, _, port = row["to"].rpartition(":")

        async def accept(reader, writer):
            ends = writer.get_extra_info("peername")[1], writer.get_extra_info("sockname")[1]
            conn = Connection(ends, row["zone"])
            self.connections.add(conn)
            conn.writers.append(writer)
            while self.is_cut(conn):
                await asyncio.sleep(POLL_S)
                if reader.at_eof() or conn not in self.connections:
                    self.reset(conn)
                    return
            try:
                far_reader, far_writer = await asyncio.open_connection(host, int(port))
            except OSError:
                self.reset(conn)
                return
            conn.writers.append(far_writer)
            await asyncio.gather(
                self._pump(conn, reader, far_writer), self._pump(conn, far_reader, writer)
            )
            self.reset(conn, hard=False)

        own_host, _, own_port = row["listen"].rpartition(":")
        return await asyncio.start_server(accept, own_host, int(own_port), backlog=1024)

    async def _pump(self, conn, reader, writer):
        while True:
            try:
                data = await reader.read(65536)
            except OSError:
                self.reset(conn)
                return
            while conn.is_silent or self.is_cut(conn):
                await asyncio.sleep(POLL_S)
                if conn not in self.connections:
                    return
            conn.moved_s = time.monotonic()
            try:
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
            except (OSError, RuntimeError):
                self.reset(conn)
                return

    def reset(self, conn, *, hard=True):
        """Close both sides of a connection, by a reset or not."""
        self.connections.discard(conn)
        for writer in conn.writers:
            sock = writer.get_extra_info("socket")
            try:
                if hard and sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            except OSError:
                pass
            writer.close()

    def silence_idle(self, idle_s):
        """Silence the connections without a byte for some seconds; return how many."""
        now = time.monotonic()
        idle = [c for c in self.connections if now - c.moved_s >= idle_s]
        for conn in idle:
            conn.is_silent = True
        return {"silenced": len(idle), "open": len(self.connections)}


def _inode_of(port, peer_port):
    """Return the inode of the established loopback socket with these ports, or None."""
    try:
        return _ask_kernel(port, peer_port)
    except OSError:
        return _search_table(port, peer_port)


def _ask_kernel(port, peer_port):
    loopback = socket.inet_aton("127.0.0.1") + bytes(12)
    ends = struct.pack("!HH", port, peer_port) + loopback + loopback
    query = struct.pack("BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0xFFFFFFFF)
    body = query + ends + struct.pack("III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    header = struct.pack("IHHII", 16 + len(body), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        sock.send(header + body)
        answer = sock.recv(4096)
    if struct.unpack_from("H", answer, 4)[0] == SOCK_DIAG_BY_FAMILY:
        return struct.unpack_from("I", answer, 16 + 4 + 48 + 16)[0]
    error = -struct.unpack_from("i", answer, 16)[0]
    if error == errno.ENOENT:
        return None  # the socket is closed already
    raise OSError(error, os.strerror(error))


def _search_table(port, peer_port):
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            ends = f"0100007F:{port:04X}", f"0100007F:{peer_port:04X}"
            if (fields[1], fields[2]) == ends:
                return int(fields[9])
    return None


def _read_zones(owners):
    """Return the zone of the owner of each socket of these processes, by its inode."""
    zones = {}
    for pid, zone in owners.items():
        for name in _names(f"/proc/{pid}/fd"):
            try:
                target = os.readlink(f"/proc/{pid}/fd/{name}")
            except OSError:
                continue  # closed meanwhile
            if target.startswith("socket:["):
                zones[int(target[8:-1])] = zone
    return zones


def _names(folder):
    try:
        return os.listdir(folder)
    except OSError:
        return []  # the process has ended


async def serve(spec):
    """Forward until the process is ended."""
    network = Network()
    servers = [await network.open_link(row) for row in spec["links"]]

    async def control(reader, writer):
        order = json.loads(await reader.readline() or "{}")
        answer = {"links": len(servers)}
        if "owners" in order:
            network.owners = order["owners"]
        if "cut" in order:
            network.start_cut(order["cut"], store=order.get("store", False))
        if "silence_idle_s" in order:
            answer = network.silence_idle(order["silence_idle_s"])
        writer.write(json.dumps(answer).encode() + b"\n")
        await writer.drain()
        writer.close()

    host, _, port = spec["control"].rpartition(":")
    server = await asyncio.start_server(control, host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as spec_file:
        asyncio.run(serve(json.load(spec_file)))
