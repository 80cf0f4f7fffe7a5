"""Life cycle of a process: build the parts, serve, drain, stop, begin anew once declared dead."""

import os
import signal

import eventlet
import structlog
from eventlet.event import Event

from burdocklug.daemon._imports import import_parts
from burdocklug.kernel import Process, build_parts, builders_of

__all__ = ["run_process"]

log = structlog.get_logger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS_READ = 64  # numbers of signals read at once


class _EndRequests:
    """Why the incarnation that runs has to end.

    Attributes
    ----------
    stop_asked : bool
        Whether the whole process has to end; never taken back.
    """

    def __init__(self):
        self.stop_asked = False
        self._end = Event()

    def stop(self):
        """End the process; more calls change nothing."""
        self.stop_asked = True
        self.end_incarnation()

    def end_incarnation(self):
        """End the present incarnation; more calls change nothing."""
        if not self._end.ready():
            self._end.send(None)

    def wait(self):
        """Wait until the present incarnation has to end."""
        self._end.wait()

    def begin_incarnation(self):
        """Forget the end of the last incarnation."""
        self._end = Event()


def run_process(settings, *, reread=None):
    """Serve until a stop signal or a drain request, then shut down gracefully.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    reread : callable, optional
        Called at SIGHUP; without it the signal changes nothing.

    Returns
    -------
    int
        Exit code 0.

    Notes
    -----
    An incarnation that its peers declared dead never returns. It is drained and stopped as at a
    shutdown, and the process goes on under a new one.
    """
    import_parts(settings.profile)
    requests = _EndRequests()
    _watch_signals(requests.stop, reread or _ignore_reread)
    _run_incarnation(settings, requests)
    while not requests.stop_asked:
        log.info("beginning_anew")
        requests.begin_incarnation()
        _run_incarnation(settings, requests)
    return 0


def _run_incarnation(settings, requests):
    """Serve under one incarnation until it has to end, then shut it down gracefully."""
    process = Process(settings)
    process.request_stop = requests.stop
    process.request_rejoin = requests.end_incarnation
    build_parts(process, builders_of(settings.profile))
    stopped = []
    timers = eventlet.spawn(process.timers.serve, lambda: bool(stopped))
    for name, built in process.parts.items():
        _call(built, "start", name)
    log.info("serving", incarnation=process["peers"].incarnation, pid=os.getpid())
    requests.wait()
    _shut_down(process)
    stopped.append(True)
    timers.kill()


def _ignore_reread():
    log.info("settings_not_reread")


def _watch_signals(request_stop, reread):
    """Turn stop signals into a request, of which a second one changes nothing, SIGHUP into a call.

    Notes
    -----
    The interpreter writes the signal's number to a pipe, which a greenlet reads. A handler that
    did more could run in the hub, where nothing may wait.
    """
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    signal.set_wakeup_fd(writer)
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, lambda _number, _frame: None)

    def wait():
        while True:
            eventlet.hubs.trampoline(reader, read=True)
            for number in os.read(reader, SIGNALS_READ):
                if number in STOP_SIGNALS:
                    request_stop()
                elif number == signal.SIGHUP:
                    reread()

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
