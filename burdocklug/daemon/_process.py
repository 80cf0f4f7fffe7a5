"""Life cycle of a process: build the parts, serve, drain, stop."""

import os
import signal

import eventlet
import structlog
from eventlet.event import Event

from burdocklug.daemon._imports import import_parts
from burdocklug.kernel import Process, build_parts, parts

__all__ = ["run_process"]

log = structlog.get_logger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_process(settings):
    """Serve until a stop signal or a drain request, then shut down gracefully.

    Parameters
    ----------
    settings : Settings
        The validated settings.

    Returns
    -------
    int
        Exit code 0.
    """
    process = Process(settings)
    stop = Event()
    process.request_stop = lambda: None if stop.ready() else stop.send(None)
    _watch_signals(process.request_stop)
    import_parts()
    build_parts(process, parts.items())
    stopped = []
    timers = eventlet.spawn(process.timers.serve, lambda: bool(stopped))
    for name, built in process.parts.items():
        _call(built, "start", name)
    log.info("serving", incarnation=process["peers"].incarnation, pid=os.getpid())
    stop.wait()
    _shut_down(process)
    stopped.append(True)
    timers.kill()
    return 0


def _watch_signals(request_stop):
    """Turn stop signals into a request; a second signal changes nothing.

    Notes
    -----
    The interpreter writes the signal's number to a pipe, which a greenlet reads. A handler that
    did more could run in the hub, where nothing may wait.
    """
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    signal.set_wakeup_fd(writer)
    for number in STOP_SIGNALS:
        signal.signal(number, lambda _number, _frame: None)

    def wait():
        eventlet.hubs.trampoline(reader, read=True)
        request_stop()

    eventlet.spawn(wait)


def _shut_down(process):
    log.info("shutting_down")
    process.draining = True
    for name, built in reversed(process.parts.items()):
        _call(built, "drain", name)
    for name, built in reversed(process.parts.items()):
        _call(built, "stop", name)
    log.info("stopped")


def _call(built, method, name):
    action = getattr(built, method, None)
    if action is None:
        return
    try:
        action()
    except Exception:
        if method == "start":
            raise
        log.exception("part_failed", part=name, action=method)
