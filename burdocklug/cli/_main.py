"""Entry point of ``burdocklug``: the commands, one-line errors, exit codes."""

import sys

import cyclopts

from burdocklug._loop import patch_loop
from burdocklug._version import __version__
from burdocklug.cli import _callers, _load, _operators
from burdocklug.kernel import BurdocklugError, answer_for

__all__ = ["build_app", "main"]

USAGE_EXIT_CODE = 2


def build_app():
    """Return the command line with all its commands."""
    app = cyclopts.App(
        name="burdocklug",
        version=__version__,
        help="Submit jobs, apply change tickets, inspect and drain burdocklug's processes.",
    )
    app.command(_callers.submit)
    app.command(_callers.status)
    app.command(_callers.cancel)
    app.command(_operators.ticket_app)
    app.command(_operators.state)
    app.command(_operators.endpoints)
    app.command(_operators.drain)
    app.command(_operators.check_settings, name="check-settings")
    app.command(_load.load)
    app.register_install_completion_command()
    return app


def main(argv=None):
    """Run one command.

    Parameters
    ----------
    argv : list of str, optional
        Arguments; those of the command line by default.

    Returns
    -------
    int
        Exit code: 0, or that of the error kind.
    """
    patch_loop()
    try:
        build_app()(argv, exit_on_error=False, print_error=False, result_action="return_value")
    except cyclopts.CycloptsError as exc:
        print(f"burdocklug: {_one_line(exc)}; see burdocklug --help", file=sys.stderr)
        return USAGE_EXIT_CODE
    except BurdocklugError as exc:
        where = f" at {exc.path}" if exc.path else ""
        ran = f" (ran: {exc.ran})"
        print(f"burdocklug: {exc.kind}: {exc.message}{where}{ran}", file=sys.stderr)
        return answer_for(exc.kind).exit_code
    except KeyboardInterrupt:
        return 130
    return 0


def _one_line(exc):
    return " ".join(str(exc).split()).rstrip(".")
