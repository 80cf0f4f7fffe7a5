"""Attribution of failures: to a job that fails everywhere, or to an endpoint where many fail."""

import random

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from burdocklug.endpoints import EndpointHealth, HealthState, Outcome, OutcomeKind

ADDRESSES = {f"10.0.{d}.{i}:1": f"domain-{d}" for d in range(3) for i in range(8)}
NAMES = list(ADDRESSES)
SLOTS = 8


class FailingJobTest(TestCase):
    def setUp(self):
        super().setUp()
        self.health = EndpointHealth(ADDRESSES, rng=random.Random(1))
        self.now_s = 0.0

    def serve(self, seconds, *, bad=()):
        """Let other jobs succeed at all usable endpoints but `bad`, 10 per second at each."""
        for _ in range(round(10 * seconds)):
            self.now_s += 0.1
            for address in NAMES:
                if address not in bad and self.health.usable(address, self.now_s):
                    self.note(address, OutcomeKind.SUCCEEDED, f"ok-{self.now_s}")

    def note(self, address, kind, job):
        self.health.record_outcome(address, Outcome(kind, 0.1, 0.1, job), self.now_s)

    def fail(self, job, addresses, *, times=1):
        """Let tasks of one job fail; return the largest number of endpoints ejected meanwhile."""
        most = 0
        for _ in range(times):
            for address in addresses:
                self.now_s += 0.001
                self.note(address, OutcomeKind.FAILED, job)
                most = max(most, self.health.ejected())
        return most

    def test_one_job_that_fails_everywhere_ejects_none_for_long(self):
        self.serve(5)
        self.assertThat(self.fail("poisoned", NAMES, times=SLOTS), LessThan(2))
        self.assertThat(self.health.ejected(), Equals(0))

    def test_nor_do_its_resubmissions_under_other_keys(self):
        self.serve(5)
        for number in range(5):
            self.assertThat(self.fail(f"poisoned-{number}", NAMES, times=SLOTS), LessThan(2))
            self.serve(1)
        self.assertThat(self.health.ejected(), Equals(0))

    def test_an_endpoint_that_was_taken_for_faulty_is_back_at_full_weight(self):
        self.serve(5)
        self.fail("poisoned", NAMES[:2])
        self.assertThat(self.health.standing(NAMES[0]), Equals(HealthState.ACTIVE))
        self.serve(1)
        self.assertThat(self.health.weight(NAMES[0], self.now_s) > 0.9, Equals(True))

    def test_a_black_hole_is_ejected_at_the_first_failure(self):
        self.serve(5)
        self.fail("large", NAMES[:1])
        self.assertThat(self.health.standing(NAMES[0]), Equals(HealthState.EJECTED))

    def test_two_black_holes_are_ejected_by_the_second_job_that_fails_at_both(self):
        holes = NAMES[:2]
        self.serve(5)
        self.fail("large-1", holes, times=SLOTS)
        self.serve(0.1, bad=holes)
        self.fail("large-2", holes, times=SLOTS)
        standings = [self.health.standing(address) for address in holes]
        self.assertThat(standings, Equals([HealthState.EJECTED] * 2))

    def test_a_black_hole_beside_a_failing_job_is_ejected(self):
        self.serve(5)
        self.fail("poisoned", NAMES)
        self.fail("good", NAMES[:1])
        self.assertThat(self.health.standing(NAMES[0]), Equals(HealthState.EJECTED))

    def test_jobs_are_forgotten(self):
        for number in range(2000):
            self.fail(f"job-{number}", NAMES[:3])
        self.assertThat(len(self.health._job_failures), LessThan(257))
