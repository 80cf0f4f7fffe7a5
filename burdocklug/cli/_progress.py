"""A progress bar on standard error, shown only on a terminal."""

import contextlib
import sys

__all__ = ["progress_bar"]


@contextlib.contextmanager
def progress_bar(label, total, *, quiet=False):
    """Yield a function that advances the bar by one step.

    Parameters
    ----------
    label : str
        Text beside the bar.
    total : int
        Number of steps.
    quiet : bool, optional
        Show no bar.
    """
    if quiet or not sys.stderr.isatty():
        yield lambda: None
        return
    from rich.console import Console
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(label, total=total)
        yield lambda: progress.advance(task)
