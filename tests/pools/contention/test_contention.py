"""Passes of a scheduler whose endpoints run 16 tasks of 0.2 s at a time."""

from unittest import mock

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.pools._models import RunEndKind
from burdocklug.pools.contention._contention import CONTENTION_HOLD_S, SUPPLY_LIFETIME_S
from burdocklug.pools.contention._supply import Supply
from tests.pools.builders import VirtualPool, entry, spec, step
from tests.pools.contention.jobs import rule


class ContendedPassTest(TestCase):
    def setUp(self):
        super().setUp()
        self.pool = VirtualPool(*(entry(number) for number in range(1, 9)))
        self.busy = [self.pool.submit(f"busy{n}", step(4)) for n in range(4)]
        self.pool.now_s += 0.1

    def submit_all(self, *rows):
        """Submit jobs of (id, tasks) together, make one pass and return them by id."""
        jobs = {
            job_id: self.pool.scheduler.submit(
                spec(job_id, step(tasks), rule=rule(queue, priority=priority)),
                received_s=self.pool.now_s,
                wait_s=1.5,
            )
            for job_id, tasks, queue, priority in rows
        }
        self.pool.scheduler.start_waiting()
        return jobs

    def contend(self):
        """Submit more than can be in time."""
        small = [(f"small{n}", 1, "quick", 0) for n in range(16)]
        return self.submit_all(("wide", 4, "quick", 0), *small, ("low", 2, "slow", 1))

    def end_busy(self):
        self.pool.now_s += 0.09
        self.end_all()

    def end_all(self):
        for job in self.busy:
            self.pool.end_all(job)

    def test_the_small_jobs_get_the_room_of_a_wide_one(self):
        self.contend()
        self.end_busy()
        started = sorted(self.pool.started_names()[16:])
        self.assertThat(started, Equals(sorted(f"small{n}.0.0.0" for n in range(16))))

    def test_a_displaced_job_goes_before_jobs_of_lower_priority(self):
        jobs = self.contend()
        plan = self.pool.scheduler.contention.plan_pass(
            list(jobs.values()),
            self.pool.now_s,
            count_free=lambda task, limit: 0,
            expected_ends=lambda service: [self.pool.now_s + 0.1] * 16,
        )
        self.assertThat([job.job_id for job in plan.jobs][-2:], Equals(["wide", "low"]))

    def test_jobs_that_fit_are_not_planned(self):
        self.end_all()
        self.submit_all(("j1", 2, "quick", 0), ("j2", 2, "slow", 1))
        self.assertThat(self.pool.scheduler.counts["contended_passes"], Equals(0))

    def test_planning_goes_on_for_a_moment_and_ends(self):
        self.contend()
        contention = self.pool.scheduler.contention
        now_s = self.pool.now_s
        supply = Supply(now_s, 9, [])
        self.assertTrue(contention._is_contended("press", [], now_s + 0.1, supply))
        later_s = now_s + CONTENTION_HOLD_S + 0.1
        self.assertFalse(contention._is_contended("press", [], later_s, supply))

    def test_openings_are_kept_for_a_moment_less_the_starts_since(self):
        self.contend()
        with mock.patch("burdocklug.pools.contention._contention._find_supply") as find_supply:
            find_supply.return_value = None
            self.pool.now_s += SUPPLY_LIFETIME_S / 2
            self.pool.end(self.busy[0].tasks[0], RunEndKind.DONE)
            self.assertThat(find_supply.call_count, Equals(0))
            self.pool.now_s += SUPPLY_LIFETIME_S
            self.pool.scheduler.start_waiting()
            self.assertThat(find_supply.call_count, Equals(1))

    def test_a_started_job_gets_room_before_jobs_in_time(self):
        jobs = self.submit_all(("half", 2, "slow", 5))
        self.pool.end(self.busy[0].tasks[0], RunEndKind.DONE)
        self.assertTrue(jobs["half"].started)
        self.pool.now_s += 0.06
        self.submit_all(*[(f"small{n}", 1, "quick", 0) for n in range(20)])
        self.pool.end(self.busy[0].tasks[1], RunEndKind.DONE)
        self.assertThat(jobs["half"].waiting, Equals([]))

    def test_the_dump_and_the_log_line_show_the_shares(self):
        self.contend()
        self.pool.now_s += 1.2
        self.pool.scheduler.expire_overdue()
        dump = self.pool.scheduler.contention.dump(self.pool.now_s)
        self.assertThat(dump["shares_served"]["all"], LessThan(1.0))
        self.assertThat(len(dump["recent_refusals"]), GreaterThan(0))
