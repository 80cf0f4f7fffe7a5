"""Imports of the daemon, without optional modules that it never uses."""

import contextlib
import importlib
import sys

from burdocklug._loop import patch_loop

__all__ = ["PART_MODULES", "hidden_modules", "import_kernel", "import_parts"]

PART_MODULES = {
    "own": (
        "burdocklug.web._part",
        "burdocklug.store._part",
        "burdocklug.peers._part",
        "burdocklug.tickets._part",
        "burdocklug.hosts._part",
        "burdocklug.endpoints._part",
        "burdocklug.limits._part",
        "burdocklug.jobs._part",
        "burdocklug.callers._part",
        "burdocklug.operators._part",
    ),
    "pool": (
        "burdocklug.web._part",
        "burdocklug.peers._part",
        "burdocklug.pools._part",
        "burdocklug.platform._store",
        "burdocklug.platform._orders",
        "burdocklug.platform._part",
        "burdocklug.operators._part",
    ),
}
UNUSED_OPTIONAL_MODULES = ("rich",)  # structlog imports it, if installed, for coloured output


@contextlib.contextmanager
def hidden_modules(names):
    """Make imports of modules fail inside the block, as if they were not installed.

    Parameters
    ----------
    names : iterable of str
        Names of the modules; those imported before the block stay available.

    Examples
    --------
    >>> with hidden_modules(["tabnanny"]):
    ...     import tabnanny
    Traceback (most recent call last):
    ModuleNotFoundError: import of tabnanny halted; None in sys.modules
    >>> import tabnanny
    """
    hidden = [name for name in names if name not in sys.modules]
    sys.modules.update(dict.fromkeys(hidden))
    try:
        yield
    finally:
        for name in hidden:
            del sys.modules[name]


def import_kernel():
    """Patch the standard library and import what the daemon needs to read its settings."""
    patch_loop()
    with hidden_modules(UNUSED_OPTIONAL_MODULES):
        importlib.import_module("burdocklug.kernel")


def import_parts(profile="own"):
    """Import the modules that register the builders of the parts of a settings profile."""
    for module in PART_MODULES[profile]:
        importlib.import_module(module)
