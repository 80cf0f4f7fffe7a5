import itertools

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from burdocklug.kernel import BurdocklugError, ErrorKind, Ran, TimerService
from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.pools._messages import Claim, JobProgress, SubmitReply
from burdocklug.pools._models import JobOutcome
from burdocklug.pools.submitting._submitter import Submitter
from tests.pools.builders import spec, step

COMPLETED = SubmitReply(JobOutcome.COMPLETED)


class FakeCongestion:
    """Admits jobs whose urgency is at least `min_urgency`."""

    min_urgency = 0

    def try_admit(self, urgency):
        return urgency >= self.min_urgency

    def retry_after_s(self):
        return 2.0


class FakeElection:
    """Follows a scheduler that has replied, with a later reply at each access."""

    def __init__(self, timers):
        self.claim = Claim(True, 1, "first")
        self.congestion = FakeCongestion()
        self.is_scheduler = False
        self._replies = itertools.count(7)
        self.last_reply_s = timers.now()
        self.former_reply_s = {}
        self.not_reached = []

    @property
    def reply_sequence(self):
        """Sequence number of the last reply; it grows with each access."""
        return next(self._replies)

    @property
    def confirmed_claim(self):
        return self.claim

    def note_not_reached(self, scheduler):
        self.not_reached.append(scheduler)


class SubmitterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = TimerService()
        self.election = FakeElection(self.timers)
        self.answers = []
        self.sent = []
        self.submitter = Submitter(
            self,
            self.election,
            self.timers,
            priorities=lambda: {0, 5},
        )

    def call(self, scheduler, message, *, timeout_s):
        self.sent.append((scheduler, message))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def refusal(self, *answers):
        self.answers = list(answers)
        return self.assertRaises(BurdocklugError, self.submitter.submit, spec("j1"), wait_s=1.0)

    def test_outcome_is_returned(self):
        self.answers = [COMPLETED]
        self.assertThat(self.submitter.submit(spec("j1"), wait_s=1.0), Equals(JobOutcome.COMPLETED))

    def test_refusal_by_the_first_scheduler_reports_that_nothing_ran(self):
        exc = self.refusal(SubmitReply(refused="overload", retry_after_s=2.0))
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.WOULD_MISS_DEADLINE, Ran.NO)))

    def test_unplaceable_job_is_refused_with_no_endpoint(self):
        exc = self.refusal(SubmitReply(refused="no room of that size", unplaceable=True))
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.NO_ENDPOINT, Ran.NO)))

    def test_refusal_after_a_lost_scheduler_reports_an_unknown_outcome(self):
        exc = self.refusal(PeerOutcomeUnknown("first", "timeout"), SubmitReply(refused="overload"))
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)))

    def test_unreachable_scheduler_does_not_make_the_outcome_unknown(self):
        exc = self.refusal(
            PeerUnreachable("first", "refused"),
            SubmitReply(resubmit=True),
            SubmitReply(refused="overload"),
        )
        self.assertThat(exc.ran, Equals(Ran.NO))
        self.assertThat([m.since_heard_s for _s, m in self.sent], Equals([None, None, None]))

    def test_progress_under_the_previous_scheduler_is_sent_to_the_next_one(self):
        progress = JobProgress((0,), (1,), (0,))
        self.answers = [
            SubmitReply(resubmit=True, may_have_started=True, progress=progress),
            COMPLETED,
        ]
        self.submitter.submit(spec("j1"), wait_s=1.0)
        message = self.sent[1][1]
        self.assertThat(message.progress, Equals(progress))
        self.assertTrue(0 <= message.since_heard_s < 0.5)

    def test_time_since_the_lost_scheduler_s_last_reply_is_sent_to_the_next_one(self):
        self.answers = [PeerOutcomeUnknown("first", "timeout"), COMPLETED]
        self.election.last_reply_s = self.timers.now() - 0.8
        self.submitter.submit(spec("j1"), wait_s=1.0)
        self.assertTrue(0.8 <= self.sent[1][1].since_heard_s < 1.2)

    def test_job_is_refused_after_waiting_for_a_scheduler(self):
        self.election.claim = None
        exc = self.refusal()
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.NO_SCHEDULER, Ran.NO)))

    def test_call_is_abandoned_when_another_scheduler_is_followed(self):
        def hang(scheduler, message, *, timeout_s):
            self.sent.append((scheduler, message))
            if len(self.sent) == 1:
                eventlet.sleep(5.0)
            return COMPLETED

        self.call = hang
        thread = eventlet.spawn(self.submitter.submit, spec("j1"), wait_s=2.0)
        eventlet.sleep(0.05)
        self.election.former_reply_s["first"] = self.timers.now()
        self.election.claim = Claim(True, 2, "second")
        self.submitter.apply_claim(self.election.claim)
        eventlet.sleep(0.08)
        self.timers.run_due()
        self.assertThat(thread.wait(), Equals(JobOutcome.COMPLETED))
        self.assertThat([scheduler for scheduler, _m in self.sent], Equals(["first", "second"]))

    def test_job_that_can_not_be_in_time_any_more_is_refused_without_a_further_wait(self):
        """The scheduler lets it be submitted again until half of its run time is left."""

        def reject(scheduler, message, *, timeout_s):
            self.sent.append((scheduler, message))
            return SubmitReply(resubmit=True)

        self.call = reject
        exc = self.assertRaises(
            BurdocklugError,
            self.submitter.submit,
            spec("j1", step(1, estimate_s=0.5)),
            wait_s=0.35,
        )
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.WOULD_MISS_DEADLINE, Ran.NO)))
        self.assertThat(max(message.age_s for _, message in self.sent), LessThan(0.15))

    def test_job_that_waits_for_a_later_reply_is_refused_when_it_can_not_be_in_time(self):
        self.election._replies = itertools.repeat(7)
        self.answers = [SubmitReply(resubmit=True)]
        exc = self.assertRaises(
            BurdocklugError,
            self.submitter.submit,
            spec("j1", step(1, estimate_s=0.5)),
            wait_s=0.3,
        )
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.WOULD_MISS_DEADLINE, Ran.NO)))

    def test_job_that_may_have_started_is_not_judged_by_its_remaining_time(self):
        self.answers = [PeerOutcomeUnknown("first", "timeout"), COMPLETED]
        job = spec("j1", step(1, estimate_s=30.0))
        self.assertThat(self.submitter.submit(job, wait_s=1.0), Equals(JobOutcome.COMPLETED))

    def test_job_is_refused_before_it_is_sent_to_a_congested_scheduler(self):
        self.election.congestion.min_urgency = 2
        exc = self.refusal()
        self.assertThat((exc.kind, exc.ran), Equals((ErrorKind.WOULD_MISS_DEADLINE, Ran.NO)))
        self.assertThat((exc.retry_after_s, self.sent), Equals((2.0, [])))

    def test_job_of_the_most_urgent_queue_is_admitted_in_congestion(self):
        self.election.congestion.min_urgency = 1
        self.answers = [COMPLETED]
        self.assertThat(self.submitter.submit(spec("j1"), wait_s=1.0), Equals(JobOutcome.COMPLETED))

    def test_stale_job_is_refused_when_the_scheduler_becomes_congested(self):
        def reject_as_stale(_scheduler, _message, *, timeout_s):
            self.election.congestion.min_urgency = 2
            return SubmitReply(resubmit=True)

        self.call = reject_as_stale
        self.assertThat(self.refusal().ran, Equals(Ran.NO))

    def test_job_that_may_have_started_is_sent_despite_congestion(self):
        def lose(scheduler, message, *, timeout_s):
            self.sent.append((scheduler, message))
            self.election.congestion.min_urgency = 2
            if len(self.sent) == 1:
                raise PeerOutcomeUnknown("first", "timeout")
            return COMPLETED

        self.call = lose
        self.assertThat(self.submitter.submit(spec("j1"), wait_s=1.0), Equals(JobOutcome.COMPLETED))

    def test_stale_job_is_resubmitted_only_after_a_later_heartbeat_reply(self):
        def answer(scheduler, message, *, timeout_s):
            self.sent.append((scheduler, message))
            return SubmitReply(resubmit=True) if len(self.sent) == 1 else COMPLETED

        self.call = answer
        self.election._replies = itertools.repeat(7)
        thread = eventlet.spawn(self.submitter.submit, spec("j1"), wait_s=2.0)
        eventlet.sleep(0.2)
        self.assertThat(len(self.sent), Equals(1))
        self.election._replies = itertools.repeat(8)
        self.assertThat(thread.wait(), Equals(JobOutcome.COMPLETED))
