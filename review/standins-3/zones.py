"""Zones that can be cut off: TCP proxies that know the zone of both ends of a connection."""

import contextlib
import os
import socket
import sys
import threading
from pathlib import Path
from types import SimpleNamespace

from harness import Deployment, Proxy, _reset, free_address


class ZoneProxy(Proxy):
    """A proxy that refuses and resets only the connections that cross a cut.

    `zone` is that of the target, `zone_of` takes the port of a client's socket and returns its
    zone. While a zone is cut off, connections between it and all others are refused.
    """

    def __init__(self, target, zone, zone_of):
        self._zone, self._zone_of = zone, zone_of
        self._cut_zone = None
        self._crossing = {}
        super().__init__(target)

    def cut_zone(self, zone):
        """Cut a zone off, or none."""
        with self._lock:
            self._cut_zone = zone
            socks = [s for s, client_zone in self._crossing.items() if self._is_apart(client_zone)]
        for sock in socks:
            _reset(sock)

    def _is_apart(self, client_zone):
        return self._cut_zone is not None and (
            (client_zone == self._cut_zone) != (self._zone == self._cut_zone)
        )

    def _serve(self, client):
        client_zone = self._zone_of(client.getpeername()[1])
        with self._lock:
            is_apart = self._is_apart(client_zone)
        if is_apart:
            _reset(client)
            return
        try:
            server = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            _reset(client)
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            is_apart = self._is_apart(client_zone)
            self._crossing.update({client: client_zone, server: client_zone})
        if is_apart:
            _reset(client)
            _reset(server)
        with contextlib.suppress(OSError, ValueError):
            while not is_apart and self._copy(client, server):
                pass
        with self._lock:
            self._crossing.pop(client, None)
            self._crossing.pop(server, None)
        for sock in (client, server):
            with contextlib.suppress(OSError):
                sock.close()


def socket_inode(port):
    """Return the inode of the loopback socket that is bound to a port and connected."""
    with open("/proc/net/tcp", encoding="ascii") as lines:
        for line in lines:
            fields = line.split()
            if fields[1] == f"0100007F:{port:04X}" and fields[3] != "0A":
                return fields[9]
    return None


def has_socket(pid, inode):
    """Return whether a process has a socket open."""
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                    return True
    return False


class ZonedDeployment(Deployment):
    """A deployment of two zones, one of which can be cut off from the other and from the store."""

    def __init__(self, folder, processes, **options):
        super().__init__(folder, processes, **options)
        self._peer_links, self._store_links, self._worker_links = {}, {}, {}
        self._lookup = threading.Lock()
        for name, zone in processes.items():
            self._peer_links[name] = ZoneProxy(self.peers[name], zone, self._zone_of)
        for address in self.worker_addresses:
            self._worker_links[address] = Proxy(address)
        self._views = {zone: free_address() for zone in self.zones}

    def _zone_of(self, port):
        """Return the zone of the process that has the socket with a port."""
        with self._lookup:
            inode = socket_inode(port)
            for name, zone in self.processes.items():
                child = self._children.get(name)
                if child is not None and child.poll() is None and has_socket(child.pid, inode):
                    return zone
        return None

    def _make_proxy(self, _number, address):
        return SimpleNamespace(address=address)  # processes of the zone reach a worker directly

    def platform_command(self):
        """Return the platform's stand-in, which shows each zone its addresses of the workers."""
        command = [sys.executable, str(Path(__file__).with_name("zoned_platform.py"))]
        for zone, listen in self._views.items():
            pairs = [
                f"{address}={self._worker_links[address].address}"
                for number, address in enumerate(self.worker_addresses)
                if self.zones[number % len(self.zones)] != zone
            ]
            command += ["--view", listen, ",".join(pairs)]
        return command

    def _settings(self, name):
        self._store_links[name] = Proxy(self._views[self.processes[name]])
        settings = super()._settings(name)
        settings["listen"]["advertised_peers"] = self._peer_links[name].address
        settings["platform"]["addresses"] = [self._store_links[name].address]
        return settings

    def cut_zone(self, zone):
        """Cut a zone off; reset its connections to the other one and to the store."""
        for link in self._peer_links.values():
            link.cut_zone(zone)
        for name, link in self._store_links.items():
            if self.processes[name] == zone:
                link.cut()
        for link in self._worker_links.values():
            link.cut()

    def heal_zone(self, zone):
        """Connect a zone again."""
        for link in self._peer_links.values():
            link.cut_zone(None)
        for name, link in self._store_links.items():
            if self.processes[name] == zone:
                link.heal()
        for link in self._worker_links.values():
            link.heal()
