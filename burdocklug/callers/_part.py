"""The part of a process that runs the callers' listener."""

from burdocklug.callers._routes import callers_app
from burdocklug.kernel import BurdocklugError, ErrorKind, part
from burdocklug.web import HttpListener, max_caller_connections

__all__ = ["CallersPart"]

# Time for requests in flight at a stop. While the process drains, a wait for another process's job
# ends with the current call, which that process answers within `MAX_CALL_WAIT_S` (in `jobs`).
STOP_TIMEOUT_S = 8.0


class CallersPart:
    """Serves callers; a stop waits up to `STOP_TIMEOUT_S` for requests in flight.

    Parameters
    ----------
    process : Process
        The process with its parts.
    """

    def __init__(self, process):
        self._process = process
        listen = process.settings.listen
        self.app = callers_app(
            process["jobs"].service, listen, health=self._health_error, metrics=self._metrics
        )
        self._listener = HttpListener(
            listen.callers,
            self.app,
            max_connections=max_caller_connections(process.settings),
            header_timeout_s=listen.header_timeout_s,
            budget=process["web"],
        )

    def start(self):
        """Start to listen."""
        self._listener.start()

    def stop(self):
        """Stop listening, and wait up to `STOP_TIMEOUT_S` for requests in flight."""
        self._listener.stop(timeout_s=STOP_TIMEOUT_S)

    def counts(self):
        """Return the number of responses by HTTP status."""
        return {f"status_{status}": count for status, count in self.app.counts.items()}

    def _health_error(self):
        if self._process.draining:
            return BurdocklugError(ErrorKind.SHUTTING_DOWN, "this process is shutting down")
        if self._process["tickets"].configuration.is_empty():
            return BurdocklugError(ErrorKind.NO_CONFIGURATION, "no configuration yet")
        holder = self._process["limits"].name_held_by
        if holder is not None:
            name = self._process.settings.process.name
            return BurdocklugError(
                ErrorKind.NAME_HELD, f"another process, {holder}, holds the name {name}"
            )
        return None

    def _metrics(self):
        from burdocklug.callers._metrics import render_metrics

        return render_metrics(self._process)


@part("callers", needs=("web", "jobs", "limits", "tickets"))
def build_callers(process):
    """Return the callers' listener of a process."""
    return CallersPart(process)
