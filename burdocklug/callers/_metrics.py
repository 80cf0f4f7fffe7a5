"""The metrics page: the counters of all parts in the Prometheus text format."""

import aioprometheus

__all__ = ["render_metrics"]

PREFIX = "burdocklug_"


def render_metrics(process):
    """Return the metrics page of a process and its content type.

    Parameters
    ----------
    process : Process
        Its parts that have a ``counts()`` method are included. Nested mappings are flattened to
        dotted names; values that are not numbers are omitted.

    Returns
    -------
    tuple of (bytes, str)
        The page in the text format, and its content type.
    """
    registry = aioprometheus.Registry()
    for name, instance in process.parts.items():
        counts = getattr(instance, "counts", None)
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
