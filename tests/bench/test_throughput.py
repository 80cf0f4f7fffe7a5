"""The bench of the real path with its sampler, over one real process."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from bench.throughput import Case, SampledFleet, deployment_of, run_jobs

READY_S = 2.0  # as in the bench: the slots are taken over by then


class SampledFleetTest(TestCase):
    def test_the_first_process_runs_under_the_sampler(self):
        with SampledFleet(deployment_of(1)) as fleet:
            fleet.apply(fleet.ticket(1))
            eventlet.sleep(READY_S)
            fleet.clear_samples()
            complete = run_jobs(fleet, Case(tasks=20, jobs=20, callers=4))
            samples = fleet.read_samples()
        self.assertThat(complete, Equals(20))
        self.assertThat(samples["samples"], GreaterThan(0))
