"""The parts of a process that run the operators' listener."""

from burdocklug.kernel import part
from burdocklug.operators._routes import operators_app, pool_operators_app
from burdocklug.web import HttpListener

__all__ = ["OperatorsPart"]

MAX_CONNECTIONS = 100
STOP_TIMEOUT_S = 1.0


class OperatorsPart:
    """Serves operators until the process stops.

    Parameters
    ----------
    process : Process
        The process with its parts.
    app : callable
        Takes the process and its `ListenSettings`, and returns the WSGI application.
    """

    def __init__(self, process, app):
        listen = process.settings.listen
        self._listener = HttpListener(
            listen.operators,
            app(process, listen),
            max_connections=MAX_CONNECTIONS,
            header_timeout_s=listen.header_timeout_s,
            budget=process["web"],
        )

    def start(self):
        """Start to listen."""
        self._listener.start()

    def stop(self):
        """Stop listening."""
        self._listener.stop(timeout_s=STOP_TIMEOUT_S)


@part("operators", needs=("web", "tickets", "peers"))
def build_operators(process):
    """Return the operators' listener of a process."""
    return OperatorsPart(process, operators_app)


@part("pool_operators", needs=("web", "pool"), profile="pool")
def build_pool_operators(process):
    """Return the operators' listener of a process in a pool."""
    return OperatorsPart(process, pool_operators_app)
