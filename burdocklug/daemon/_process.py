"""Life cycle of a process: build the parts, serve, drain, stop, rejoin if declared dead."""

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
MAX_SIGNALS_PER_READ = 64  # each signal is one byte in the wakeup pipe


class _EndRequests:
    """Requests to end the current incarnation or the whole process.

    Attributes
    ----------
    is_stop_requested : bool
        Whether the whole process has to end; never reset.
    """

    def __init__(self):
        self.is_stop_requested = False
        self._end_requested = Event()

    def stop(self):
        """Request the end of the process; further calls have no effect."""
        self.is_stop_requested = True
        self.end_incarnation()

    def end_incarnation(self):
        """Request the end of the current incarnation; further calls have no effect."""
        if not self._end_requested.ready():
            self._end_requested.send(None)

    def wait(self):
        """Wait until the end of the current incarnation is requested."""
        self._end_requested.wait()

    def clear_end_request(self):
        """Clear the request that ended the previous incarnation."""
        self._end_requested = Event()


def run_process(settings, *, on_sighup=None):
    """Serve until a stop signal or a drain request, then shut down gracefully.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    on_sighup : callable, optional
        Called at SIGHUP; by default the signal is only logged.

    Returns
    -------
    int
        Exit code 0.

    Notes
    -----
    Peers never readmit an incarnation that they declared dead. It is drained and stopped as at a
    shutdown, and the process rejoins under a new incarnation.
    """
    import_parts(settings.profile)
    requests = _EndRequests()
    _watch_signals(requests.stop, on_sighup or _log_ignored_sighup)
    _run_incarnation(settings, requests)
    while not requests.is_stop_requested:
        log.info("rejoining")
        requests.clear_end_request()
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


def _log_ignored_sighup():
    log.info("settings_not_reread")


def _watch_signals(request_stop, on_sighup):
    """Call `request_stop` at every stop signal and `on_sighup` at SIGHUP, in a green thread.

    Notes
    -----
    The interpreter writes the signal's number to a pipe, which the green thread reads. The signal
    handlers themselves do nothing, as they may run in eventlet's hub, which must not block.
    """
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    signal.set_wakeup_fd(writer)
    for number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(number, lambda _number, _frame: None)

    def dispatch_signals():
        while True:
            eventlet.hubs.trampoline(reader, read=True)
            for number in os.read(reader, MAX_SIGNALS_PER_READ):
                if number in STOP_SIGNALS:
                    request_stop()
                elif number == signal.SIGHUP:
                    on_sighup()

    eventlet.spawn(dispatch_signals)


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
