"""Runs ``burdocklugd`` under a sampling timer: ``python -m bench._sampler OUT SETTINGS``.

The timer counts processor time, so that a process that waits is not sampled. Samples are written
to OUT as JSON when the process gets SIGUSR2: the number of samples, and by function those in which
it ran (``own``) and those in which it was on the stack (``all``).
"""

import json
import os
import signal
import sys
from collections import Counter

__all__ = ["Sampler", "main"]

PERIOD_S = 0.001
STACK_DEPTH = 64


class Sampler:
    """Counts the functions on the stack at each tick of the processor-time timer.

    Parameters
    ----------
    path : str
        File for the samples.
    """

    def __init__(self, path):
        self.path = path
        self.samples = 0
        self.own = Counter()
        self.all = Counter()

    def start(self):
        """Install the timer, and SIGUSR1 and SIGUSR2 to clear and to write the samples.

        Notes
        -----
        The daemon reads every signal from the wake-up descriptor as a stop request, so it gets
        none here; this process ends by SIGKILL.
        """
        signal.set_wakeup_fd = lambda _descriptor: -1
        signal.signal(signal.SIGPROF, self._sample)
        signal.signal(signal.SIGUSR1, self._clear)
        signal.signal(signal.SIGUSR2, self._write)
        signal.setitimer(signal.ITIMER_PROF, PERIOD_S, PERIOD_S)

    def _sample(self, _number, frame):
        self.samples += 1
        names = set()
        self.own[_name(frame)] += 1
        for _ in range(STACK_DEPTH):
            if frame is None:
                break
            names.add(_name(frame))
            frame = frame.f_back
        self.all.update(names)

    def _clear(self, *_):
        self.samples = 0
        self.own.clear()
        self.all.clear()

    def _write(self, *_):
        signal.setitimer(signal.ITIMER_PROF, 0)
        with open(f"{self.path}.new", "w", encoding="utf-8") as file:
            file.write(json.dumps({"samples": self.samples, "own": self.own, "all": self.all}))
        os.replace(f"{self.path}.new", self.path)
        signal.setitimer(signal.ITIMER_PROF, PERIOD_S, PERIOD_S)


def _name(frame):
    code = frame.f_code
    return f"{'/'.join(code.co_filename.split('/')[-2:])}:{code.co_qualname}"


def main():
    """Start the sampler, then the daemon."""
    path, settings = sys.argv[1:]
    Sampler(path).start()
    from burdocklug.daemon._main import main as run_daemon

    return run_daemon([settings])


if __name__ == "__main__":
    sys.exit(main())
