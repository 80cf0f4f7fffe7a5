"""Parts of a process: packages register builders, which run in the order of dependencies."""

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
    """Settings, services and state that the parts of one process share.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    timers : TimerService
        Schedules callbacks and gives the monotonic time.
    wall_clock : callable
        Returns the Unix time: seconds since 1970.
    parts : dict
        The parts built so far, by name.
    draining : bool
        Whether the process is shutting down gracefully.
    request_stop : callable
        Starts a graceful shutdown; further calls have no effect.
    request_rejoin : callable
        Stops this incarnation gracefully; the operating system process continues with a new one.
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
        Name of the part.
    needs : tuple of str
        Names of the parts that it depends on: built and started before it, stopped after it.
    profile : str or None, optional
        Settings profile whose processes have the part; None for all profiles.

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
    """Return pairs of name and registered builder for the parts of a settings profile."""
    return [(name, b) for name, b in parts.items() if b.profile in (None, profile)]


def build_parts(process, builders):
    """Build parts into ``process.parts``, each after the parts that it depends on.

    Parameters
    ----------
    process : Process
        Receives the parts.
    builders : iterable
        Pairs of name and registered builder.

    Raises
    ------
    ValueError
        If dependencies are circular or name an unknown part.

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
    unbuilt = dict(builders)
    while unbuilt:
        ready = [b for b in unbuilt.values() if all(need in process.parts for need in b.needs)]
        if not ready:
            raise ValueError(f"circular or unknown dependency of parts {sorted(unbuilt)}")
        for builder in ready:
            process.parts[builder.name] = builder.build(process)
            del unbuilt[builder.name]
