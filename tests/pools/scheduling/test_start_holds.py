"""Holds of jobs that another scheduler gave up, against reports of endpoints and the time."""

from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._lease_times import TAKEOVER_DELAY_S
from burdocklug.pools._messages import JobProgress
from burdocklug.pools.scheduling._start_holds import REPORTED_DELAY_S
from tests.pools.builders import VirtualPool, entry, step


class HandedOverJobTest(TestCase):
    """A deposed scheduler renewed leases until it gave the job up, later than this one began.

    Guards against two runs of one task after a short partition (review/1).
    """

    def setUp(self):
        super().setUp()
        self.pool = VirtualPool(entry(1), entry(2))
        self.pool.scheduler.is_reconciled = False

    def hand_over(self, endpoint_ids):
        progress = JobProgress((), (1,), (0,), endpoint_ids)
        self.pool.submit("j1", step(), wait_s=9.0, since_heard_s=0.0, progress=progress)
        self.pool.now_s += 0.1
        self.pool.scheduler.mark_reconciled()

    def note_report(self, number):
        self.pool.scheduler.endpoints[f"e{number}"].reported_s = self.pool.now_s

    def starts(self):
        self.pool.scheduler.start_waiting()
        return self.pool.started_names()

    def test_a_settled_scheduler_waits_until_the_named_endpoints_report(self):
        self.hand_over(("e1", "e2"))
        self.note_report(1)
        self.assertThat(self.starts(), Equals([]))
        self.note_report(2)
        self.assertThat(self.starts(), Equals(["j1.0.0.0"]))

    def test_a_report_from_before_the_handover_does_not_count(self):
        self.note_report(1)
        self.hand_over(("e1",))
        self.assertThat(self.starts(), Equals([]))

    def test_without_reports_the_leases_have_to_lapse(self):
        self.hand_over(("e1",))
        self.pool.now_s += TAKEOVER_DELAY_S - 0.2
        self.assertThat(self.starts(), Equals([]))
        self.pool.now_s += 0.2
        self.assertThat(self.starts(), Equals(["j1.0.0.0"]))

    def test_an_endpoint_that_is_not_listed_here_keeps_the_job_back(self):
        """As in the users' record: the new scheduler's list of endpoints was out of date."""
        self.hand_over(("e1", "e9"))
        self.note_report(1)
        self.note_report(2)
        self.assertThat(self.starts(), Equals([]))

    def test_a_job_without_runs_starts_at_once(self):
        self.hand_over(())
        self.assertThat(self.starts(), Equals(["j1.0.0.0"]))

    def test_endpoints_that_are_not_known_keep_the_job_back(self):
        self.hand_over(None)
        self.note_report(1)
        self.note_report(2)
        self.assertThat(self.starts(), Equals([]))


class LostSchedulerTest(TestCase):
    """The endpoints of a lost scheduler are not known; its leases end `TAKEOVER_DELAY_S` later."""

    def setUp(self):
        super().setUp()
        self.pool = VirtualPool(entry(1), entry(2))
        self.pool.submit("j1", step(estimate_s=0.9), wait_s=9.0, since_heard_s=0.2)

    def starts_after(self, since_reply_s, *, reported=(), listed_s=None):
        """Return the starts at a time since the lost scheduler's last reply."""
        self.pool.now_s = 100.0 + since_reply_s - 0.2
        for number in reported:
            self.pool.scheduler.endpoints[f"e{number}"].reported_s = self.pool.now_s
        if listed_s is not None:
            self.pool.scheduler.listed_s = listed_s
        self.pool.scheduler.start_waiting()
        return self.pool.started_names()

    def test_its_tasks_start_once_all_leases_have_ended(self):
        self.assertThat(self.starts_after(TAKEOVER_DELAY_S - 0.01), Equals([]))
        self.assertThat(self.starts_after(TAKEOVER_DELAY_S + 0.01), Equals(["j1.0.0.0"]))

    def test_its_tasks_start_as_soon_as_all_listed_endpoints_have_reported(self):
        """Then nothing can be active, so the wait for unreachable endpoints is not needed."""
        before_s = REPORTED_DELAY_S - 0.01
        self.assertThat(self.starts_after(before_s, reported=(1, 2), listed_s=100.1), Equals([]))
        self.assertThat(self.starts_after(REPORTED_DELAY_S + 0.01), Equals(["j1.0.0.0"]))

    def test_a_list_from_before_or_an_endpoint_without_a_report_does_not_count(self):
        late_s = REPORTED_DELAY_S + 0.01
        self.assertThat(self.starts_after(late_s, reported=(1, 2), listed_s=99.9), Equals([]))
        self.pool.scheduler.endpoints["e2"].reported_s = float("-inf")
        self.assertThat(self.starts_after(late_s, listed_s=100.1), Equals([]))
