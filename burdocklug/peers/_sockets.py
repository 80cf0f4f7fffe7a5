"""Nonblocking pynng sockets under eventlet.

No call here waits inside nng: sends and receives are tried, and a greenlet that has to wait
does so on the descriptor of the socket. Each descriptor has one greenlet. The hub is told of each
new descriptor, since nng may reuse the number of one that was closed without the hub's knowledge.
"""

import logging

import eventlet
import pynng
import structlog
from eventlet import patcher
from eventlet.green import socket as green_socket
from eventlet.hubs import notify_opened, trampoline

from burdocklug.peers._codec import MAX_FRAME_BYTES

__all__ = ["NotWritable", "PullListener", "PushDialer", "is_refused"]

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
FRAMES_PER_TURN = 16  # frames read before other greenlets run
NNG_THREADS = {1: 2, 2: 1, 3: 1, 4: 1}  # nng_init_parameter: task, expire, poller, resolver

RECV_FLAGS = pynng.lib.NNG_FLAG_ALLOC | pynng.lib.NNG_FLAG_NONBLOCK

log = structlog.get_logger(__name__)

_threading = patcher.original("threading")


def _limit_nng_threads():
    for parameter, count in NNG_THREADS.items():
        pynng.lib.nng_init_set_parameter(parameter, count)


_limit_nng_threads()
# pynng logs from threads of nng, where the patched locks of logging must not be taken.
logging.getLogger("pynng.nng").disabled = True


class NotWritable(Exception):
    """The socket took no frame within the time limit."""


def _use_native_lock(sock):
    # Threads of nng run the pipe callbacks; a patched lock would start a hub in them.
    sock._pipe_notify_lock = _threading.Lock()
    return sock


class PullListener:
    """Receives frames of all peers and hands each to `handle`.

    Parameters
    ----------
    address : str
        IP number and port to listen on.
    handle : callable
        Takes the bytes of one frame.
    """

    def __init__(self, address, handle):
        self._sock = _use_native_lock(pynng.Pull0())
        self._sock.recv_max_size = MAX_FRAME_BYTES
        try:
            self._sock.listen(f"tcp://{address}")
        except pynng.NNGException:
            self._sock.close()
            raise
        self._fd = self._sock.recv_fd
        notify_opened(self._fd)
        self._handle = handle
        self._data = pynng.ffi.new("char **")
        self._size = pynng.ffi.new("size_t *")
        self._reader = eventlet.spawn(self._read)

    def _read(self):
        count = 0
        while True:
            frame = self._try_recv()
            if frame is None:
                trampoline(self._fd, read=True)
                continue
            try:
                self._handle(frame)
            except Exception:
                log.exception("peer_frame_failed")
            count += 1
            if count % FRAMES_PER_TURN == 0:
                eventlet.sleep(0)

    def _try_recv(self):
        # pynng's own recv raises where there is no frame, which costs more than the call.
        lib, ffi = pynng.lib, pynng.ffi
        code = lib.nng_recv(self._sock.socket, self._data, self._size, RECV_FLAGS)
        if code != 0:
            return None
        frame = ffi.unpack(self._data[0], self._size[0])
        lib.nng_free(self._data[0], self._size[0])
        return frame

    def close(self):
        """Stop reading and close the socket."""
        self._reader.kill()
        self._sock.close()


class PushDialer:
    """Sends frames to one address; nng redials in the background while it is open.

    Parameters
    ----------
    address : str
        IP number and port to dial.
    """

    def __init__(self, address):
        self._sock = _use_native_lock(pynng.Push0())
        self._sock.reconnect_time_min = RECONNECT_MIN_MS
        self._sock.reconnect_time_max = RECONNECT_MAX_MS
        self._sock.dial(f"tcp://{address}", block=False)
        self._fd = self._sock.send_fd
        notify_opened(self._fd)

    def try_send(self, frame):
        """Hand a frame to nng; return False, with nothing handed over, if it takes none now."""
        try:
            self._sock.send(frame, block=False)
        except pynng.NNGException:
            return False
        return True

    def wait_writable(self, timeout_s):
        """Wait until the socket may take a frame.

        Raises
        ------
        NotWritable
            If it does not within `timeout_s` seconds.
        """
        trampoline(self._fd, read=True, timeout=timeout_s, timeout_exc=NotWritable)

    def close(self):
        """Close the socket; frames still inside nng may be lost."""
        self._sock.close()


def is_refused(address, *, timeout_s):
    """Return whether a new connection to `address` is refused at once.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout_s : float
        Seconds after which the address counts as not refusing.
    """
    host, _, port = address.partition(":")
    try:
        with green_socket.socket(green_socket.AF_INET, green_socket.SOCK_STREAM) as sock:
            sock.settimeout(timeout_s)
            sock.connect((host, int(port)))
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
