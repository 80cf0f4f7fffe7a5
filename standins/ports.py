"""Ports on loopback for programs that are started later.

A port that was free a moment ago may be taken before its program listens: by the kernel for a
socket that dials, or by another process that looks for ports too. So ports come from under the
kernel's range, and each process has a share of them, marked by a socket that it keeps bound.
"""

import contextlib
import os
import socket

__all__ = ["HOST", "PORTS", "SHARE", "free_address", "free_ports"]

HOST = "127.0.0.1"
PORTS = range(10000, 32000)  # under the range that the kernel gives to dialling sockets
SHARE = 2000  # ports of a process; a run of the whole suite uses six processes of the eleven

_own = {}


def free_ports(count, *, ip=HOST):
    """Return `count` TCP ports in a row that are free and that no other process hands out.

    Parameters
    ----------
    count : int
        How many, fewer than `SHARE`.
    ip : str, optional
        Address at which they are to be free.

    Raises
    ------
    OSError
        If there are not so many.
    """
    share = _own_share()
    start = _own["next"] if _own["next"] + count <= share.stop else share.start
    for base in [*range(start, share.stop - count + 1), *range(share.start, start)]:
        if base + count <= share.stop and _are_free(ip, range(base, base + count)):
            _own["next"] = base + count
            return list(range(base, base + count))
    raise OSError(f"no {count} free ports in a row, pid {os.getpid()}")


def free_address(ip=HOST):
    """Return ``IP:port`` with a port as of `free_ports`."""
    return f"{ip}:{free_ports(1, ip=ip)[0]}"


def _own_share():
    """Return the ports of this process, without the first one, which marks them as taken."""
    if _own.get("pid") != os.getpid():
        share, marker = _claim_share()
        _own.update(pid=os.getpid(), share=share, marker=marker, next=share.start)
    return _own["share"]


def _claim_share():
    for base in range(PORTS.start, PORTS.stop, SHARE):
        marker = socket.socket()
        try:
            marker.bind((HOST, base))
        except OSError:
            marker.close()
            continue
        return range(base + 1, base + SHARE), marker
    raise OSError(f"all shares of the ports {PORTS} are taken by other processes")


def _are_free(ip, ports):
    with contextlib.ExitStack() as stack:
        try:
            for port in ports:
                sock = stack.enter_context(socket.socket())
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((ip, port))
        except OSError:
            return False
    return True
