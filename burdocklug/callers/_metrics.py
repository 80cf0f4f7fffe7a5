"""The metrics page: every part's counters, rendered by aioprometheus."""

import aioprometheus

__all__ = ["render_metrics"]

PREFIX = "burdocklug_"


def render_metrics(process):
    """Return the metrics page of a process and its content type.

    Parameters
    ----------
    process : Process
        Parts with a ``counts()`` method, a flat mapping from name to number, are shown.

    Returns
    -------
    tuple of (bytes, str)
        The page in the text format, and its content type.
    """
    registry = aioprometheus.Registry()
    for name, built in process.parts.items():
        counts = getattr(built, "counts", None)
        if counts is None:
            continue
        gauge = aioprometheus.Gauge(f"{PREFIX}{name}", f"Counters of {name}.", registry=registry)
        for label, value in _flatten(counts()):
            gauge.set({"name": label, "process": process.settings.process.name}, value)
    page, headers = aioprometheus.render(registry, [])
    return page, headers["Content-Type"]


def _flatten(counts, prefix=""):
    for name, value in counts.items():
        if isinstance(value, dict):
            yield from _flatten(value, f"{prefix}{name}.")
        elif isinstance(value, int | float):
            yield f"{prefix}{name}", value
