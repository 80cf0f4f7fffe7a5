"""Samples endpoints of each failure domain to find out where no live scheduler holds any."""

import random
from collections import defaultdict

import eventlet
import structlog

from burdocklug.pools.agents import BUSY_HOLDER_WAIT_S, HolderState

__all__ = ["HolderSampling", "choose_samples", "domains_in", "judge_domain", "sample_holders"]

MAX_SAMPLES = 3  # endpoints sampled in a failure domain
# Part of a failure domain's endpoints that is sampled, so that a live holder keeps most of them.
SAMPLED_PART = 1 / 3
POLL_S = 0.05
JUDGE_MARGIN_S = 0.05  # for the answers of probes that end with the wait for a busy holder
LONE_DELAY_S = 2.0  # a process that reaches no other is probably the one that is cut off
RETRY_S = (4.0, 30.0)  # first and longest pause after a live holder was found; it doubles
EMPTY_RETRY_S = 1.0  # pause after a sampling that found neither a holder nor a free domain
LOSS_MEMORY_S = 1.0  # pause after which a search for a scheduler counts as a new one

log = structlog.get_logger(__name__)


def domains_in(states, state):
    """Return the failure domains that are in the given `HolderState`, as a set."""
    return {domain for domain, found in states.items() if found is state}


def choose_samples(entries, is_wanted):
    """Return the endpoints to sample, by failure domain; the same ones at every process.

    Parameters
    ----------
    entries : iterable of EndpointEntry
        The known endpoints.
    is_wanted : callable
        Returns whether to sample a failure domain.
    """
    by_domain = defaultdict(list)
    for entry in sorted(entries, key=lambda entry: entry.endpoint_id):
        if is_wanted(entry.failure_domain):
            by_domain[entry.failure_domain].append(entry)
    return {
        domain: listed[: min(MAX_SAMPLES, max(1, int(SAMPLED_PART * len(listed))))]
        for domain, listed in by_domain.items()
    }


def judge_domain(states, sampled):
    """Return the state of a failure domain, or None while it is not known.

    Parameters
    ----------
    states : list of HolderState
        Results so far.
    sampled : int
        Number of sampled endpoints.

    Examples
    --------
    >>> free, held, unreached = HolderState.FREE, HolderState.HELD, HolderState.UNREACHED
    >>> judge_domain([free, held], 3), judge_domain([free, free], 3), judge_domain([free], 3)
    (<HolderState.HELD: 'held'>, <HolderState.FREE: 'free'>, None)
    >>> judge_domain([free, unreached, unreached], 3), judge_domain([unreached], 1)
    (<HolderState.FREE: 'free'>, <HolderState.UNREACHED: 'unreached'>)
    """
    if HolderState.HELD in states:
        return HolderState.HELD
    if 2 * states.count(HolderState.FREE) > sampled:
        return HolderState.FREE
    if len(states) < sampled:
        return None
    return HolderState.FREE if HolderState.FREE in states else HolderState.UNREACHED


def sample_holders(entries, is_wanted, on_free, *, probe, now):
    """Probe some endpoints at once and return the `HolderState` of each failure domain.

    Parameters
    ----------
    entries : iterable of EndpointEntry
        The known endpoints.
    is_wanted : callable
        Returns whether to sample a failure domain.
    on_free : callable
        Called with the states so far when more failure domains are known to be free.
    probe : callable
        Returns the `HolderState` of an endpoint; it may block.
    now : callable
        Returns the monotonic time in seconds.

    Notes
    -----
    Where nothing runs, a live holder may notice the probes late. That is not waited for where the
    holder of busy endpoints was found to be lost and none was found to live: one scheduler holds
    all endpoints unless it is cut off from some.
    """
    samples, began_s = choose_samples(entries, is_wanted), now()
    results = {domain: [] for domain in samples}
    threads = [
        eventlet.spawn(lambda d=domain, e=entry: results[d].append(probe(e)))
        for domain, listed in samples.items()
        for entry in listed
    ]
    reported = set()
    while True:
        states = {d: judge_domain(results[d], len(samples[d])) for d in samples}
        free = domains_in(states, HolderState.FREE)
        if free and now() - began_s >= BUSY_HOLDER_WAIT_S + JUDGE_MARGIN_S:
            if HolderState.HELD not in states.values():
                states = {d: state or HolderState.FREE for d, state in states.items()}
        if None not in states.values() or all(thread.dead for thread in threads):
            break
        if free > reported:
            reported = free
            on_free({d: state for d, state in states.items() if state is not None})
        eventlet.sleep(POLL_S)
    for thread in threads:
        thread.kill()
    return {domain: state for domain, state in states.items() if state is not None}


class HolderSampling:
    """Runs samplings in the background, with pauses where a live holder was found.

    Parameters
    ----------
    timers : TimerService
        Clock.
    sample : callable
        Takes a predicate of failure domains, and a function to call with the states so far when
        more domains are known to be free; returns the `HolderState` of each domain that the
        predicate selects. It may block.

    Attributes
    ----------
    is_running : bool
        Whether a sampling is under way.
    states : dict
        Results of the last sampling, by failure domain.
    """

    def __init__(self, timers, sample):
        self.is_running = False
        self.states = {}
        self._timers = timers
        self._sample = sample
        self._not_before_s = 0.0
        self._retry_s = RETRY_S[0]
        self._searched_s = self._searching_since_s = 0.0

    @property
    def held_domains(self):
        """Failure domains in which a live holder was found just before, as a set."""
        if self._timers.now() >= self._not_before_s:
            return set()
        return domains_in(self.states, HolderState.HELD)

    def search(self, reached, handle):
        """Sample all failure domains for a process that searches a scheduler.

        Parameters
        ----------
        reached : int
            Number of processes that replied to this one.
        handle : callable
            Called with the results, each time that there are more.
        """
        now = self._timers.now()
        if now - self._searched_s > LOSS_MEMORY_S:
            self._searching_since_s = now
        self._searched_s = now
        if reached or now - self._searching_since_s >= LONE_DELAY_S:
            self.begin(lambda _domain: True, handle)

    def begin(self, is_wanted, handle):
        """Begin a sampling, unless one is under way or a live holder was found just before."""
        if not self.is_running and self._timers.now() >= self._not_before_s:
            self._spawn(is_wanted, handle, on_free=handle)

    def force(self, is_wanted, handle):
        """Begin a sampling, unless one is under way; call ``handle(states)`` when it ends."""
        if not self.is_running:
            self._spawn(is_wanted, handle, on_free=lambda _states: None)

    def _spawn(self, is_wanted, handle, *, on_free):
        self.is_running = True
        eventlet.spawn(self._run, is_wanted, handle, on_free)

    def _run(self, is_wanted, handle, on_free):
        began_s = self._timers.now()
        try:
            self.states = self._sample(is_wanted, on_free)
        except Exception:
            log.exception("holder_sampling_failed")
            self.states = {}
        finally:
            self.is_running = False
        now = self._timers.now()
        log.info(
            "holders_sampled",
            domains={domain: state.value for domain, state in sorted(self.states.items())},
            took_s=round(now - began_s, 3),
        )
        if HolderState.HELD in self.states.values():
            self._not_before_s = now + self._retry_s * random.uniform(1.0, 1.5)
            self._retry_s = min(2 * self._retry_s, RETRY_S[1])
        elif HolderState.FREE in self.states.values():
            self._retry_s = RETRY_S[0]
        else:
            self._not_before_s = now + EMPTY_RETRY_S
        handle(self.states)

    def dump(self):
        """Return the last results as plain data."""
        return {domain: state.value for domain, state in sorted(self.states.items())}
