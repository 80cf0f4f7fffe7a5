"""A process withdraws jobs whose callers have closed their connections."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import BurdocklugError, ErrorKind, TimerService
from burdocklug.peers import PeerOutcomeUnknown
from burdocklug.pools._messages import JobStateReply, SubmitJob, SubmitReply, WithdrawJob
from burdocklug.pools._models import JobOutcome
from burdocklug.pools.submitting._submission import Submission
from burdocklug.pools.submitting._submitter import Submitter
from tests.pools.builders import spec
from tests.pools.submitting.test_submitter import FakeElection

RUNNING = JobStateReply("running")
UNKNOWN = JobStateReply("")


class FakeCaller:
    """A caller whose connection ends when `leave` is called."""

    def __init__(self):
        self.has_ended = False
        self._callback = lambda: None

    def on_end(self, callback):
        self._callback = callback

    def leave(self):
        self.has_ended = True
        self._callback()


class WithdrawalTest(TestCase):
    def setUp(self):
        super().setUp()
        self.timers = TimerService()
        self.election = FakeElection(self.timers)
        self.replies = [RUNNING]
        self.submissions = []
        self.withdrawals = []
        self.submitter = Submitter(self, self.election, self.timers, priorities=lambda: {0})

    def call(self, scheduler, message, *, timeout_s):
        if isinstance(message, SubmitJob):
            self.submissions.append(message)
            eventlet.sleep(timeout_s)
            return SubmitReply(JobOutcome.COMPLETED)
        self.withdrawals.append((scheduler, message))
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    def submit(self, caller):
        submission = Submission(spec("j1"), self.timers.now(), 5.0, caller=caller)
        return eventlet.spawn(self.answer, submission)

    def answer(self, submission):
        try:
            return self.submitter.resume(submission)
        except BurdocklugError as exc:
            return exc.kind

    def leave_after(self, seconds, caller, thread):
        eventlet.sleep(seconds)
        caller.leave()
        answer = thread.wait()
        eventlet.sleep(0.2)
        return answer

    def test_the_scheduler_is_told_and_the_answer_is_not_waited_for(self):
        caller = FakeCaller()
        answer = self.leave_after(0.05, caller, self.submit(caller))
        self.assertThat(answer, Equals(ErrorKind.OUTCOME_UNKNOWN))
        self.assertThat([s for s, _message in self.withdrawals], Equals(["first"]))
        self.assertThat(self.withdrawals[0][1], Equals(WithdrawJob("j1", only_waiting=False)))
        self.assertThat(self.submitter.waiting, Equals(0))

    def test_it_is_told_again_until_it_replies(self):
        self.replies = [PeerOutcomeUnknown("first", "no reply"), RUNNING]
        caller = FakeCaller()
        self.leave_after(0.05, caller, self.submit(caller))
        self.assertThat(len(self.withdrawals), Equals(2))

    def test_a_scheduler_that_does_not_know_the_job_yet_is_told_twice(self):
        self.replies = [UNKNOWN, UNKNOWN]
        caller = FakeCaller()
        self.leave_after(0.05, caller, self.submit(caller))
        self.assertThat(len(self.withdrawals), Equals(2))

    def test_another_caller_of_this_process_keeps_the_job(self):
        first, second = FakeCaller(), FakeCaller()
        threads = [self.submit(first), self.submit(second)]
        self.leave_after(0.05, first, threads[0])
        self.assertThat(self.withdrawals, Equals([]))
        self.leave_after(0.05, second, threads[1])
        self.assertThat(len(self.withdrawals), Equals(1))

    def test_a_job_that_waits_for_a_scheduler_is_not_sent(self):
        self.election.claim = None
        caller = FakeCaller()
        answer = self.leave_after(0.05, caller, self.submit(caller))
        self.assertThat(answer, Equals(ErrorKind.OUTCOME_UNKNOWN))
        self.assertThat((self.submissions, self.withdrawals), Equals(([], [])))

    def test_a_scheduler_that_was_lost_before_the_end_is_told_too(self):
        caller = FakeCaller()
        thread = self.submit(caller)
        eventlet.sleep(0.05)
        self.election.claim = None
        self.submitter.apply_claim(None)
        self.submitter._abandon_calls(list(self.submitter._calls))
        self.leave_after(0.05, caller, thread)
        self.assertThat([s for s, _message in self.withdrawals], Equals(["first"]))

    def test_a_caller_that_has_left_before_the_job_is_sent_starts_nothing(self):
        caller = FakeCaller()
        caller.leave()
        self.assertThat(self.submit(caller).wait(), Equals(ErrorKind.OUTCOME_UNKNOWN))
        self.assertThat(self.submissions, Equals([]))
