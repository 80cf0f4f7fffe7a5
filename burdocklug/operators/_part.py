"""The operators' listener as a part of a process."""

from burdocklug.kernel import part
from burdocklug.operators._routes import operators_app
from burdocklug.web import HttpListener

__all__ = ["OperatorsPart"]

MAX_CONNECTIONS = 100
STOP_S = 1.0


class OperatorsPart:
    """Serves operators as long as the process lives.

    Parameters
    ----------
    process : Process
        The process with its parts.
    """

    def __init__(self, process):
        listen = process.settings.listen
        self._listener = HttpListener(
            listen.operators,
            operators_app(process, listen),
            max_connections=MAX_CONNECTIONS,
            header_timeout_s=listen.header_timeout_s,
        )

    def start(self):
        """Listen."""
        self._listener.start()

    def stop(self):
        """Stop listening."""
        self._listener.stop(timeout_s=STOP_S)


@part("operators", needs=("tickets", "peers"))
def build_operators(process):
    """Return the operators' listener of a process."""
    return OperatorsPart(process)
