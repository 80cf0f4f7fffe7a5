"""Parts of a process: packages register a builder, the process builds them in order of need."""

import time
from dataclasses import dataclass, field

from burdocklug.kernel._registry import Registry
from burdocklug.kernel._timers import TimerService

__all__ = ["Process", "build_parts", "builders_of", "part", "parts"]

parts = Registry("part")


@dataclass(frozen=True, slots=True)
class _Builder:
    name: str
    needs: tuple
    build: object
    profile: str | None = None


@dataclass
class Process:
    """What every part of one process may use.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    timers : TimerService
        The source of time.
    wall_clock : callable
        Seconds since 1970.
    parts : dict
        The built parts by name.
    draining : bool
        Whether the process shuts down.
    request_stop : callable
        Begins a graceful shutdown; more calls change nothing.
    request_rejoin : callable
        Begins a graceful end of this incarnation; the Python process goes on under a new one.
    """

    settings: object
    timers: TimerService = field(default_factory=TimerService)
    wall_clock: object = time.time
    parts: dict = field(default_factory=dict)
    draining: bool = False
    request_stop: object = None
    request_rejoin: object = None

    def __getitem__(self, name):
        return self.parts[name]


def part(name, *, needs=(), profile="own"):
    """Return a decorator that registers a builder of the part `name`.

    Parameters
    ----------
    name : str
        The part's name.
    needs : tuple of str
        Parts that are built and started before, and stopped after it.
    profile : str or None, optional
        Profile of the settings with which a process has the part; None for every profile.

    Notes
    -----
    The builder takes the `Process` and returns an object. Its optional methods are ``start()``,
    ``stop()``, ``dump()`` for the state dump and ``counts()`` for metrics.
    """

    def decorate(build):
        parts.register(name)(_Builder(name, tuple(needs), build, profile))
        return build

    return decorate


def builders_of(profile):
    """Return pairs of name and registered builder of the parts that a profile has."""
    return [(name, b) for name, b in parts.items() if b.profile in (None, profile)]


def build_parts(process, builders):
    """Build parts into ``process.parts``, each after those it needs.

    Parameters
    ----------
    process : Process
        Receives the parts.
    builders : iterable
        Pairs of name and registered builder.

    Raises
    ------
    ValueError
        If parts need each other in a circle or need an unknown one.

    Examples
    --------
    >>> table = Registry("part")
    >>> a = table.register("a")(_Builder("a", ("b",), lambda process: process["b"] + 1))
    >>> b = table.register("b")(_Builder("b", (), lambda process: 1))
    >>> process = Process(settings=None)
    >>> build_parts(process, table.items())
    >>> process.parts
    {'b': 1, 'a': 2}
    """
    waiting = dict(builders)
    while waiting:
        ready = [b for b in waiting.values() if all(need in process.parts for need in b.needs)]
        if not ready:
            raise ValueError(f"parts need each other or an unknown one: {sorted(waiting)}")
        for builder in ready:
            process.parts[builder.name] = builder.build(process)
            del waiting[builder.name]
