import contextlib
import os
import time

import eventlet

eventlet.monkey_patch()

import pynng  # noqa: E402
from testtools import TestCase  # noqa: E402
from testtools.matchers import Equals  # noqa: E402

from burdocklug.peers._sockets import PullListener, PushDialer, is_refused  # noqa: E402
from standins.ports import free_address  # noqa: E402

MAX_CLOSE_S = 1.0  # far above the usual time, far below the timeouts of nng


def fill(dialer):
    while dialer.try_send(b"x" * 100_000):
        eventlet.sleep(0.01)


class CloseTest(TestCase):
    """Closing a socket does not wait for its peer."""

    def check_close(self, dialer):
        started_s = time.monotonic()
        dialer.close()
        self.assertTrue(time.monotonic() - started_s < MAX_CLOSE_S)

    def test_refused(self):
        dialer = PushDialer(free_address())
        eventlet.sleep(0.1)
        self.check_close(dialer)

    def test_hanging_handshake(self):
        silent_listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(silent_listener.close)
        dialer = PushDialer(f"127.0.0.1:{silent_listener.getsockname()[1]}")
        eventlet.sleep(0.1)
        self.assertThat(dialer.try_send(b"x"), Equals(False))
        self.check_close(dialer)

    def test_receiver_that_does_not_read(self):
        address = free_address()
        sock = pynng.Pull0(listen=f"tcp://{address}")
        self.addCleanup(sock.close)
        dialer = PushDialer(address)
        dialer.wait_writable(5.0)
        fill(dialer)
        self.check_close(dialer)


class ReusedDescriptorTest(TestCase):
    def test_a_waiter_left_on_a_closed_descriptor_does_no_harm(self):
        ends = [os.pipe() for _ in range(40)]
        waiting = [eventlet.spawn(self.wait_readable, reader) for reader, _ in ends]
        self.addCleanup(self.kill_all, waiting)  # after both sockets are closed
        eventlet.sleep(0)
        for end in ends:
            os.close(end[0])
            os.close(end[1])
        address, frames = free_address(), []
        listener = PullListener(address, frames.append)
        self.addCleanup(listener.close)
        dialer = PushDialer(address)
        self.addCleanup(dialer.close)
        dialer.wait_writable(5.0)
        self.assertTrue(dialer.try_send(b"1"))
        with eventlet.Timeout(5):
            while not frames:
                eventlet.sleep(0.01)

    def kill_all(self, waiting):
        for greenthread in waiting:
            greenthread.kill()

    def wait_readable(self, descriptor):
        with contextlib.suppress(OSError):
            eventlet.hubs.trampoline(descriptor, read=True)


class ListenerTest(TestCase):
    def test_failing_handler_does_not_end_the_reader(self):
        address, frames = free_address(), []

        def handle(frame):
            frames.append(frame)
            raise ValueError("bad frame")

        listener = PullListener(address, handle)
        self.addCleanup(listener.close)
        dialer = PushDialer(address)
        self.addCleanup(dialer.close)
        for frame in (b"1", b"2"):
            dialer.wait_writable(5.0)
            self.assertTrue(dialer.try_send(frame))
        with eventlet.Timeout(5):
            while len(frames) < 2:
                eventlet.sleep(0.01)

    def test_address_in_use_is_an_error_and_refusal_is_seen(self):
        address = free_address()
        self.assertTrue(is_refused(address, timeout_s=1.0))
        listener = PullListener(address, print)
        self.addCleanup(listener.close)
        self.assertThat(is_refused(address, timeout_s=1.0), Equals(False))
        self.assertRaises(pynng.AddressInUse, PullListener, address, print)
