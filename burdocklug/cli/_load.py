"""The ``load`` command: an open-loop generator of jobs with a histogram of response times."""

import random
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from burdocklug.cli._callers import Addresses
from burdocklug.cli._output import print_json, print_rows
from burdocklug.client import Client, JobFailed
from burdocklug.kernel import BurdocklugError, ErrorKind, Ran

__all__ = ["LoadResult", "histogram_rows", "load"]

MAX_RATE_PER_S = 2000.0
MAX_DURATION_S = 600.0
MAX_IN_FLIGHT = 5000
MAX_BAR_CHARS = 40
PLOT_BINS = 60
# Upper bounds of the histogram's bins: response time over the run time of the longest task.
BIN_BOUNDS = (1.1, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0, float("inf"))


@dataclass
class LoadResult:
    """Results of a load run.

    Attributes
    ----------
    ratios : list of float
        Response time over the run time of the longest task, for each completed job.
    failures : dict
        Number of failed jobs by error kind.
    sent : int
        Number of jobs sent.
    dropped : int
        Number of jobs not sent because too many were in flight.
    """

    ratios: list = field(default_factory=list)
    failures: dict = field(default_factory=dict)
    sent: int = 0
    dropped: int = 0

    def quantile(self, fraction):
        """Return the quantile of the ratios at `fraction`, or None if no job completed."""
        ordered = sorted(self.ratios)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else None

    def summary(self):
        """Return the results as a dictionary, ready for output."""
        return {
            "sent": self.sent,
            "complete": len(self.ratios),
            "dropped": self.dropped,
            "failures": self.failures,
            **{f"p{round(100 * share)}": self.quantile(share) for share in (0.5, 0.9, 0.99)},
        }


def histogram_rows(ratios):
    """Yield rows of a histogram: upper bound, count, bar.

    Examples
    --------
    >>> [row[:2] for row in histogram_rows([1.05, 1.15, 1.15])][:2]
    [('1.1', 1), ('1.2', 2)]
    """
    counts = [0] * len(BIN_BOUNDS)
    for ratio in ratios:
        counts[next(i for i, bound in enumerate(BIN_BOUNDS) if ratio <= bound)] += 1
    most = max(counts) or 1
    for bound, count in zip(BIN_BOUNDS, counts, strict=True):
        yield f"{bound:g}", count, "#" * round(MAX_BAR_CHARS * count / most)


def load(
    service: str,
    *,
    team: str,
    address: Addresses,
    rate: float = 10.0,
    duration_s: float = 10.0,
    tasks: int = 1,
    run_s: Annotated[tuple[float, float], Parameter(negative="")] = (0.05, 1.0),
    deadline_s: float = 30.0,
    seed: int = 1,
    plot: Path | None = None,
    json: bool = False,
):
    """Send jobs at a fixed rate and report the ratio of response time to ideal.

    Example: ``burdocklug load press-control --team vat -a 127.0.0.1:8001 --rate 50``

    The ideal is the run time of the job's longest task. Payloads are in the format of the endpoint
    stand-in.

    Parameters
    ----------
    service
        Service that runs the jobs.
    team
        Team whose quota the jobs count against.
    address
        IP:port of an entry host or the balancer; may be given several times.
    rate
        Jobs per second, sent without waiting for answers; 2000 at most.
    duration_s
        Duration of the load, in seconds; 600 at most.
    tasks
        Tasks of each job.
    run_s
        Shortest and longest run time of a task, in seconds.
    deadline_s
        Deadline of each job, in seconds from its submission.
    seed
        Seed of the random run times.
    plot
        Image file to write the histogram to; needs the extra "plots".
    json
        Print JSON.
    """
    if not (0 < rate <= MAX_RATE_PER_S and 0 < duration_s <= MAX_DURATION_S):
        raise BurdocklugError(
            ErrorKind.BAD_REQUEST,
            f"rate {rate} jobs/s, duration {duration_s} s: rate must be above 0, at most 2000, "
            "duration above 0, at most 600",
        )
    figure = None if plot is None else _new_figure(plot)
    clients = [Client([one], team=team, seed=seed) for one in address]
    make_job = _job_factory(tasks, run_s, random.Random(seed))
    result = _run_load(clients, service, make_job, rate, duration_s, deadline_s, quiet=json)
    _report(result, json=json)
    if figure is not None:
        _write_plot(figure, result, plot)


def _report(result, *, json):
    if json:
        print_json(result.summary())
        return
    for name, value in result.summary().items():
        print(f"{name}: {value}")
    print_rows(["over ideal up to", "jobs", ""], histogram_rows(result.ratios))


def _job_factory(tasks, run_s, rng):
    def make_job():
        times = [round(rng.uniform(*run_s), 4) for _ in range(tasks)]
        return max(times), [{"payload": {"run_s": t}, "declared_s": t} for t in times]

    return make_job


def _run_load(clients, service, make_job, rate, duration_s, deadline_s, *, quiet):
    import eventlet

    from burdocklug.cli._progress import progress_bar

    result = LoadResult()
    pool = eventlet.GreenPool(MAX_IN_FLIGHT)
    started_s = time.monotonic()
    total = max(1, round(rate * duration_s))
    with progress_bar("jobs", total, quiet=quiet) as advance:
        for number in range(total):
            eventlet.sleep(max(0.0, started_s + number / rate - time.monotonic()))
            advance()
            if pool.free() <= 0:
                result.dropped += 1
                continue
            result.sent += 1
            client = clients[number % len(clients)]
            pool.spawn_n(_submit_job, client, service, make_job(), deadline_s, result)
        pool.waitall()
    return result


def _submit_job(client, service, job, deadline_s, result):
    ideal_s, tasks = job
    started_s = time.monotonic()
    try:
        client.submit(service, tasks, deadline_s=deadline_s, refusals=0)
    except JobFailed as exc:
        result.failures[str(exc.kind)] = result.failures.get(str(exc.kind), 0) + 1
    else:
        result.ratios.append((time.monotonic() - started_s) / ideal_s)


def _new_figure(path):
    """Return an empty figure; raise before any load is sent if the plot can't be written."""
    try:
        from matplotlib.figure import Figure
    except ImportError as exc:
        raise BurdocklugError(
            ErrorKind.BAD_REQUEST, "--plot needs matplotlib: pip install burdocklug[plots]"
        ) from exc
    if not path.absolute().parent.is_dir():
        raise BurdocklugError(ErrorKind.BAD_REQUEST, f"--plot: no folder {path.parent}")
    return Figure(figsize=(6, 4), layout="constrained")


def _mark_percentiles(axes, result):
    for share, style in ((0.5, "--"), (0.99, ":")):
        ratio = result.quantile(share)
        axes.axvline(ratio, color="black", linestyle=style, label=f"p{100 * share:.0f} {ratio:.2f}")
    axes.legend()


def _write_plot(figure, result, path):
    axes = figure.subplots()
    axes.hist(result.ratios, bins=PLOT_BINS)
    axes.set_yscale("log")  # keeps a few late jobs visible beside many others
    if result.ratios:
        _mark_percentiles(axes, result)
    axes.set_xlabel("response time over ideal")
    axes.set_ylabel("jobs")
    try:
        figure.savefig(path)
    except (OSError, ValueError) as exc:
        raise BurdocklugError(ErrorKind.BAD_REQUEST, f"--plot: {exc}", ran=Ran.YES) from exc
