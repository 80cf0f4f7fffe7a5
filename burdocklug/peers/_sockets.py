"""Nonblocking pynng sockets under eventlet.

No call here blocks inside nng: sends and receives are nonblocking, and a greenlet that has to wait
does so in the hub, on the descriptor of the socket. At most one greenlet waits on a descriptor.
Each new descriptor is announced to the hub, since nng may reuse the number of a descriptor that was
closed without the hub being notified.
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

RECONNECT_MIN_MS = 50  # nng's redial backoff starts here and grows to the maximum
RECONNECT_MAX_MS = 1000
FRAMES_PER_TURN = 16  # frames read before the reader yields to other greenlets
# Threads by nng_init_parameter: task, expire, poller, resolver.
NNG_THREADS = {1: 2, 2: 1, 3: 1, 4: 1}

RECV_FLAGS = pynng.lib.NNG_FLAG_ALLOC | pynng.lib.NNG_FLAG_NONBLOCK

log = structlog.get_logger(__name__)

_threading = patcher.original("threading")


def _limit_nng_threads():
    for parameter, count in NNG_THREADS.items():
        pynng.lib.nng_init_set_parameter(parameter, count)


_limit_nng_threads()
# pynng logs from threads of nng, which must not acquire the locks of logging that eventlet patched.
logging.getLogger("pynng.nng").disabled = True


class NotWritable(Exception):
    """The socket accepted no frame within the timeout."""


def _use_native_lock(sock):
    # Threads of nng run the pipe callbacks; a lock patched by eventlet would start a hub in them.
    sock._pipe_notify_lock = _threading.Lock()
    return sock


class PullListener:
    """Receives frames from all peers and passes each to `handle`.

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
        # pynng's recv raises if there is no frame; the exception costs more than the call itself.
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
    """Sends frames to one address; while it is open, nng redials a lost connection.

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
        """Pass a frame to nng; return False if nng did not accept it."""
        try:
            self._sock.send(frame, block=False)
        except pynng.NNGException:
            return False
        return True

    def wait_writable(self, timeout_s):
        """Wait until the socket may accept a frame.

        Raises
        ------
        NotWritable
            If the socket is not writable within `timeout_s` seconds.
        """
        trampoline(self._fd, read=True, timeout=timeout_s, timeout_exc=NotWritable)

    def close(self):
        """Close the socket; frames that nng has not sent yet may be lost."""
        self._sock.close()


def is_refused(address, *, timeout_s):
    """Return whether a new connection to `address` is refused within `timeout_s` seconds.

    Parameters
    ----------
    address : str
        IP number and port.
    timeout_s : float
        Seconds after which an unanswered connection attempt counts as not refused.
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
