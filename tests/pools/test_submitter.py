import itertools

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import BurdocklugError, ErrorKind, Ran, TimerService
from burdocklug.peers import PeerNotReached, PeerSilent
from burdocklug.pools._messages import Claim, JobAnswer, JobProgress
from burdocklug.pools._models import JobOutcome
from burdocklug.pools._submitter import Submitter
from tests.pools.builders import spec

COMPLETED = JobAnswer(JobOutcome.COMPLETED)


class FakeCongestion:
    """A scheduler that reads jobs of the given urgency and more urgent ones."""

    least = 0

    def try_admit(self, urgency):
        return urgency >= self.least

    def retry_after_s(self):
        return 2.0


class FakeFollowing:
    """A claim that has answered, and when schedulers were heard."""

    def __init__(self, timers):
        self.claim = Claim(True, 1, "first")
        self.congestion = FakeCongestion()
        self.leads = False
        self._heard = itertools.count(7)
        self.heard_s = timers.now()
        self.lost_heard_s = {}
        self.not_reached = []

    @property
    def heard_sequence(self):
        """A later answer with each look."""
        return next(self._heard)

    @property
    def reached_claim(self):
        return self.claim

    def note_not_reached(self, scheduler):
        self.not_reached.append(scheduler)


class SubmitterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = TimerService()
        self.following = FakeFollowing(self.timers)
        self.answers = []
        self.sent = []
        self.submitter = Submitter(self, self.following, self.timers, priorities=lambda: {0, 5})

    def call(self, scheduler, message, *, timeout_s):
        self.sent.append((scheduler, message))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def refusal(self, *answers):
        self.answers = list(answers)
        return self.assertRaises(BurdocklugError, self.submitter.submit, spec("j1"), wait_s=1.0)

    def test_the_outcome_is_returned(self):
        self.answers = [COMPLETED]
        self.assertThat(self.submitter.submit(spec("j1"), wait_s=1.0), Equals(JobOutcome.COMPLETED))

    def test_a_refusal_by_the_first_scheduler_says_that_nothing_ran(self):
        exc = self.refusal(JobAnswer(refused="overload", retry_after_s=2.0))
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.WOULD_MISS_DEADLINE, Ran.NO)))

    def test_a_job_that_no_endpoint_can_hold_is_refused_not_failed(self):
        exc = self.refusal(JobAnswer(refused="no room of that size", impossible=True))
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.NO_ENDPOINT, Ran.NO)))

    def test_a_refusal_after_a_lost_scheduler_says_that_something_may_have_run(self):
        exc = self.refusal(PeerSilent("first", "timeout"), JobAnswer(refused="overload"))
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)))

    def test_a_scheduler_that_had_nothing_of_the_job_does_not_make_it_unknown(self):
        exc = self.refusal(
            PeerNotReached("first", "refused"), JobAnswer(moved=True), JobAnswer(refused="overload")
        )
        self.assertThat(exc.ran, Equals(Ran.NO))
        self.assertThat([m.quiet_s for _s, m in self.sent], Equals([None, None, None]))

    def test_the_next_scheduler_is_told_what_the_one_before_has_done(self):
        progress = JobProgress((0,), (1,), (0,))
        self.answers = [JobAnswer(moved=True, begun=True, progress=progress), COMPLETED]
        self.submitter.submit(spec("j1"), wait_s=1.0)
        message = self.sent[1][1]
        self.assertThat(message.progress, Equals(progress))
        self.assertTrue(0 <= message.quiet_s < 0.5)

    def test_the_next_scheduler_is_told_when_a_lost_one_was_heard(self):
        self.answers = [PeerSilent("first", "timeout"), COMPLETED]
        self.following.heard_s = self.timers.now() - 0.8
        self.submitter.submit(spec("j1"), wait_s=1.0)
        self.assertTrue(0.8 <= self.sent[1][1].quiet_s < 1.2)

    def test_a_job_that_nobody_has_waits_for_a_scheduler_then_is_refused(self):
        self.following.claim = None
        exc = self.refusal()
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.NO_SCHEDULER, Ran.NO)))

    def test_a_wait_ends_when_another_scheduler_is_followed(self):
        def hang(scheduler, message, *, timeout_s):
            self.sent.append((scheduler, message))
            if len(self.sent) == 1:
                eventlet.sleep(5.0)
            return COMPLETED

        self.call = hang
        thread = eventlet.spawn(self.submitter.submit, spec("j1"), wait_s=2.0)
        eventlet.sleep(0.05)
        self.following.lost_heard_s["first"] = self.timers.now()
        self.following.claim = Claim(True, 2, "second")
        self.submitter.follow_claim(self.following.claim)
        eventlet.sleep(0.08)
        self.timers.run_due()
        self.assertThat(thread.wait(), Equals(JobOutcome.COMPLETED))
        self.assertThat([scheduler for scheduler, _m in self.sent], Equals(["first", "second"]))

    def test_a_job_that_a_busy_scheduler_would_not_read_is_refused_before_it_is_sent(self):
        self.following.congestion.least = 2
        exc = self.refusal()
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.WOULD_MISS_DEADLINE, Ran.NO)))
        self.assertThat((exc.retry_after_s, self.sent), Equals((2.0, [])))

    def test_a_job_of_the_most_urgent_queue_goes_before_the_others(self):
        self.following.congestion.least = 1
        self.answers = [COMPLETED]
        self.assertThat(self.submitter.submit(spec("j1"), wait_s=1.0), Equals(JobOutcome.COMPLETED))

    def test_one_that_was_turned_away_for_its_age_is_refused_where_it_is_not_read(self):
        def turn_away(_scheduler, _message, *, timeout_s):
            self.following.congestion.least = 2
            return JobAnswer(moved=True)

        self.call = turn_away
        self.assertThat(self.refusal().ran, Equals(Ran.NO))

    def test_one_that_may_have_begun_is_sent_however_busy_the_scheduler_is(self):
        def lose(scheduler, message, *, timeout_s):
            self.sent.append((scheduler, message))
            self.following.congestion.least = 2
            if len(self.sent) == 1:
                raise PeerSilent("first", "timeout")
            return COMPLETED

        self.call = lose
        self.assertThat(self.submitter.submit(spec("j1"), wait_s=1.0), Equals(JobOutcome.COMPLETED))

    def test_one_that_was_turned_away_is_sent_again_after_a_later_answer_only(self):
        def answer(scheduler, message, *, timeout_s):
            self.sent.append((scheduler, message))
            return JobAnswer(moved=True) if len(self.sent) == 1 else COMPLETED

        self.call = answer
        self.following._heard = itertools.repeat(7)
        thread = eventlet.spawn(self.submitter.submit, spec("j1"), wait_s=2.0)
        eventlet.sleep(0.2)
        self.assertThat(len(self.sent), Equals(1))
        self.following._heard = itertools.repeat(8)
        self.assertThat(thread.wait(), Equals(JobOutcome.COMPLETED))
