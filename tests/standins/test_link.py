import eventlet

eventlet.monkey_patch()

import os  # noqa: E402
import socket  # noqa: E402

import urllib3  # noqa: E402
from testtools import TestCase  # noqa: E402
from testtools.matchers import Equals, GreaterThan, LessThan  # noqa: E402

from standins.launch import launch  # noqa: E402
from standins.link import Link  # noqa: E402
from standins.ports import free_address  # noqa: E402

QUIET_S = 0.3


def echo(conn):
    try:
        while data := conn.recv(1000):
            conn.sendall(data)
    except ConnectionResetError:
        pass  # eventlet.serve ends at the first error of a handler
    conn.close()


class LinkTest(TestCase):
    def setUp(self):
        super().setUp()
        listener = eventlet.listen(("127.0.0.1", 0))
        server = eventlet.spawn(eventlet.serve, listener, lambda conn, _: echo(conn))
        self.addCleanup(server.kill)
        self.listen, self.control = free_address(), free_address()
        to = f"127.0.0.1:{listener.getsockname()[1]}"
        args = ("--listen", self.listen, "--to", to, "--control", self.control)
        child = launch("standins.link", *args, health=f"http://{self.control}/health")
        self.addCleanup(child.stop)

    def mode(self, **body):
        answer = urllib3.request("POST", f"http://{self.control}/mode", json=body)
        self.assertThat(answer.status, Equals(200))

    def record(self):
        return urllib3.request("GET", f"http://{self.control}/record").json()["links"][0]

    def dial(self):
        host, port = self.listen.split(":")
        conn = socket.create_connection((host, int(port)), 5.0)
        self.addCleanup(conn.close)
        return conn

    def ask(self, conn, wait_s=5.0):
        conn.settimeout(wait_s)
        try:
            conn.sendall(b"ping")
            return conn.recv(100)
        except TimeoutError:
            return "silent"
        except ConnectionResetError:
            return "reset"

    def test_forwards_bytes_and_the_close(self):
        conn = self.dial()
        self.assertThat(self.ask(conn), Equals(b"ping"))
        conn.shutdown(socket.SHUT_WR)
        self.assertThat(conn.recv(100), Equals(b""))
        with eventlet.Timeout(5):
            while self.record()["open"]:
                eventlet.sleep(0.01)

    def test_cut_resets_and_refuses_until_forward(self):
        conn = self.dial()
        self.ask(conn)
        self.mode(mode="cut")
        self.assertThat(self.ask(conn), Equals("reset"))
        self.assertRaises(ConnectionRefusedError, self.dial)
        self.mode(mode="forward")
        self.assertThat(self.ask(self.dial()), Equals(b"ping"))

    def test_silent_existing_stays_silent_and_new_ones_work(self):
        old = self.dial()
        self.ask(old)
        self.mode(mode="silent", scope="existing")
        self.assertThat(self.ask(old, QUIET_S), Equals("silent"))
        self.assertThat(self.ask(self.dial()), Equals(b"ping"))
        self.mode(mode="forward")
        self.assertThat(self.ask(old, QUIET_S), Equals("silent"))
        self.assertThat(self.record()["silent"], Equals(1))

    def test_silent_all_accepts_new_connections(self):
        self.mode(mode="silent", scope="all")
        self.assertThat(self.ask(self.dial(), QUIET_S), Equals("silent"))
        self.mode(mode="forward")
        self.assertThat(self.ask(self.dial()), Equals(b"ping"))

    def test_one_direction(self):
        for direction, to_server, to_client in (("to_client", 4, 0), ("to_server", 0, 0)):
            self.mode(mode="forward")
            before = self.record()["bytes"]
            self.mode(mode="silent", scope="all", direction=direction)
            self.assertThat(self.ask(self.dial(), QUIET_S), Equals("silent"))
            after = self.record()["bytes"]
            self.assertThat(after["to_server"] - before["to_server"], Equals(to_server))
            self.assertThat(after["to_client"] - before["to_client"], Equals(to_client))

    def test_delay_holds_each_way(self):
        conn = self.dial()
        self.mode(mode="forward", delay_s=0.2)
        self.assertThat(self.ask(conn, 0.3), Equals("silent"))
        conn.settimeout(5.0)
        self.assertThat(conn.recv(100), Equals(b"ping"))

    def test_unknown_mode_is_refused(self):
        answer = urllib3.request("POST", f"http://{self.control}/mode", json={"mode": "x"})
        self.assertThat(answer.status, Equals(400))


class LaunchTest(TestCase):
    def test_pause_resume_stop(self):
        address = free_address()
        url = f"http://{address}/health"
        child = launch("standins.store", "--listen", address, health=url)
        child.pause()
        timeout = urllib3.Timeout(QUIET_S)
        self.assertRaises(
            urllib3.exceptions.TimeoutError,
            lambda: urllib3.request("GET", url, timeout=timeout, retries=False),
        )
        child.resume()
        self.assertThat(urllib3.request("GET", url).status, Equals(200))
        self.assertThat(child.returncode, Equals(None))
        self.assertThat(child.pid, GreaterThan(0))
        self.assertThat(child.stop(), LessThan(0))


class InProcessLinkTest(TestCase):
    """A link in the process of a test, as `tests/tickets/test_silent_link.py` uses it."""

    def test_a_cut_leaves_no_greenlet_waiting_on_a_closed_descriptor(self):
        """A later test that opened the same descriptor failed: "Second simultaneous read"."""
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(eventlet.spawn(eventlet.serve, listener, lambda conn, _: echo(conn)).kill)
        link = Link(free_address(), f"127.0.0.1:{listener.getsockname()[1]}")
        host, port = link.listen.split(":")
        conn = socket.create_connection((host, int(port)), 5.0)
        self.addCleanup(conn.close)
        conn.sendall(b"ping")
        self.assertThat(conn.recv(100), Equals(b"ping"))
        link.set_mode("cut")
        eventlet.sleep(0.05)
        waiting = list(eventlet.hubs.get_hub().listeners["read"])
        self.assertThat([fd for fd in waiting if not is_open(fd)], Equals([]))


def is_open(fd):
    try:
        os.fstat(fd)
    except OSError:
        return False
    return True
