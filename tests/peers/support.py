"""Peer networks in this and in separate processes, and a TCP forwarder that injects faults."""

import json
import signal
import socket
import subprocess
import sys

import eventlet
import msgspec
from testtools import TestCase

from burdocklug.kernel import PeerSettings, TimerService
from burdocklug.peers import PeerNetwork
from standins.ports import free_address

KEY = "0123456789abcdef"
PERIODS = {"heartbeat_s": 0.1, "suspect_after_s": 0.6, "dead_after_s": 1.2}
WAIT_S = 20


class Echo(msgspec.Struct, tag="echo", array_like=True):
    number: int


class Slow(msgspec.Struct, tag="slow", array_like=True):
    number: int
    delay_s: float


class Blob(msgspec.Struct, tag="blob", array_like=True):
    data: bytes


class Handled(msgspec.Struct, tag="handled", array_like=True):
    numbers: list[int] = []
    declared_dead: bool = False
    alive: list[str] = []


class Leave(msgspec.Struct, tag="leave", array_like=True):
    successor: str


def make_network(name, *, address=None, domain="perg", seeds=(), key=KEY, options=None, **more):
    settings = PeerSettings(shared_key=key, seeds=list(seeds), **{**PERIODS, **(options or {})})
    timers = TimerService()
    network = PeerNetwork(name, domain, address or free_address(), settings, timers, **more)
    network.handled = []
    network.death_reports = []

    def echo(_sender, message):
        network.handled.append(message.number)
        return message

    def slow(_sender, message):
        network.handled.append(message.number)
        eventlet.sleep(message.delay_s)
        return message

    def leave(_sender, message):
        network.leave(message.successor)

    network.register(Echo, echo)
    network.register(Slow, slow)
    network.register(Blob, lambda _sender, message: message)
    network.register(
        Handled,
        lambda *_: Handled(
            network.handled, bool(network.death_reports), sorted(alive_names(network))
        ),
    )
    network.register(Leave, leave)
    network.on_declared_dead(network.death_reports.append)
    network.start()
    network.server = eventlet.spawn(timers.serve, lambda: False)
    return network


class NetworkCase(TestCase):
    def network(self, name, **options):
        network = make_network(name, **options)
        self.addCleanup(network.server.kill)
        self.addCleanup(network.stop)
        return network

    def fleet(self, layout, **options):
        """Start the networks named in `layout` by failure domain; return them by name."""
        seed, networks = None, {}
        for domain, names in layout.items():
            for name in names:
                seeds = [seed] if seed else []
                networks[name] = self.network(name, domain=domain, seeds=seeds, **options)
                seed = seed or networks[name].address
        self.wait_for(
            lambda: all(len(alive_names(n)) == len(networks) - 1 for n in networks.values())
        )
        return networks

    def forwarder(self, target):
        forwarder = Forwarder(target)
        self.addCleanup(forwarder.close)
        return forwarder

    def behind_forwarder(self, name, **options):
        listen_address = free_address()
        forwarder = self.forwarder(listen_address)
        network = self.network(
            name, address=forwarder.address, listen_address=listen_address, **options
        )
        return network, forwarder

    def process(self, name, **options):
        process = PeerProcess(name, **options)
        self.addCleanup(process.close)
        return process

    def wait_for(self, condition):
        with eventlet.Timeout(WAIT_S):
            while not condition():
                eventlet.sleep(0.02)


def alive_names(network):
    return {m.name for m in network.members() if m.state == "alive"}


def states(network):
    return {m.name: str(m.state) for m in network.members()}


class Forwarder:
    """Forwards TCP connections to a listener; can discard their data without closing them."""

    def __init__(self, target):
        self._target = target
        self._pairs = []
        self.is_cut = False
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._greenlets = [eventlet.spawn(self._accept)]

    def _accept(self):
        while True:
            client, _peer = self._listener.accept()
            host, _, port = self._target.partition(":")
            try:
                upstream = eventlet.connect((host, int(port)))
            except OSError:
                client.close()
                continue
            pair = {"sockets": (client, upstream), "silent": self.is_cut}
            self._pairs.append(pair)
            for source, sink in ((client, upstream), (upstream, client)):
                self._greenlets.append(eventlet.spawn(self._pump, pair, source, sink))

    def _pump(self, pair, source, sink):
        try:
            while data := source.recv(65536):
                if not pair["silent"]:
                    sink.sendall(data)
            if not pair["silent"]:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def silence_open_connections(self):
        """Discard the data on every open connection from now on, without closing it."""
        for pair in self._pairs:
            pair["silent"] = True

    def cut(self):
        """Discard the data on all connections, open and new."""
        self.is_cut = True
        self.silence_open_connections()

    def heal(self):
        """Forward new connections again; open ones stay silent."""
        self.is_cut = False

    def close(self):
        for greenlet in self._greenlets:
            greenlet.kill()
        for pair in self._pairs:
            for sock in pair["sockets"]:
                sock.close()
        self._listener.close()


class PeerProcess:
    """A peer network in a separate process."""

    def __init__(self, name, **options):
        command = [sys.executable, "-W", "ignore", "-m", "tests.peers.support"]
        self._process = subprocess.Popen(
            [*command, json.dumps({"name": name, **options})], stdout=subprocess.PIPE
        )
        self.incarnation = self._process.stdout.readline().decode().strip()
        self.address = self.incarnation.partition("~")[0]

    def kill(self):
        self._process.kill()
        self._process.wait()

    def freeze(self):
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        self._process.send_signal(signal.SIGCONT)

    def close(self):
        if self._process.poll() is None:
            self.kill()
        self._process.stdout.close()


def main():
    network = make_network(**json.loads(sys.argv[1]))
    print(network.incarnation, flush=True)
    network.server.wait()


if __name__ == "__main__":
    main()
