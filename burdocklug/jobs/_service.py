"""Submissions: find the owner of a key, and at the owner run each key once.

The way of a request: `submit` -> owner of the key -> `_submit_owned` -> `Dispatcher.start`. Any
other process forwards to the owner and passes the owner's answer on as it is.
"""

import structlog
from eventlet.event import Event

from burdocklug.jobs._forwarding import Forwarder
from burdocklug.jobs._jobs import encode_error
from burdocklug.jobs._keys import CallerKey, mint_session, parse_key
from burdocklug.jobs._ledger import check_digest
from burdocklug.jobs._messages import AwaitJob, CancelJob, JobReply, SubmitJob
from burdocklug.jobs._models import parse_submission, submission_digest
from burdocklug.jobs._waiting import wait_for_record
from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["JobService"]

log = structlog.get_logger(__name__)

CLOCK_SKEW_S = 60.0  # a caller key's time may lie this far ahead of this host's clock


class JobService:
    """Facade of the jobs package for the callers' listener and for peers.

    Parameters
    ----------
    settings : JobSettings
        Bounds of jobs.
    incarnation : str
        This process's incarnation.
    ledger : Ledger
        The submission ledger.
    dispatcher : Dispatcher
        Runs accepted jobs.
    claims : Claims
        Decides the owner of caller keys.
    peers : PeerNetwork
        Reaches the owners of other keys.
    clock : callable
        Monotonic seconds.
    wall_clock : callable
        Seconds since 1970, used for the time inside caller keys only.
    """

    def __init__(
        self, settings, *, incarnation, ledger, dispatcher, claims, peers, clock, wall_clock
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.ledger = ledger
        self.dispatcher = dispatcher
        self.claims = claims
        self.peers = peers
        self.clock = clock
        self.wall_clock = wall_clock
        self.draining = False
        self.handed_over_to = None
        self.counts = {"submitted": 0, "resubmitted": 0, "refused": 0, "forwarded": 0}
        self._claiming = {}
        self._frozen = None
        self.forwarder = Forwarder(peers)
        peers.register(JobReply)
        peers.register(SubmitJob, self._on_submit)
        peers.register(AwaitJob, self._on_await)
        peers.register(CancelJob, self._on_cancel)

    def freeze(self):
        """Hold back every request about owned keys until `unfreeze`."""
        self._frozen = Event()

    def unfreeze(self, successor):
        """Let requests go on, to `successor` where there is one."""
        self.handed_over_to = successor
        self._frozen.send(None)
        self._frozen = None

    def _await_unfrozen(self):
        if self._frozen is not None:
            self._frozen.wait()

    def open_session(self):
        """Return the id of a new session owned by this process."""
        if self.draining:
            raise BurdocklugError(ErrorKind.SHUTTING_DOWN, "this process is shutting down")
        session = mint_session(self.incarnation)
        self.ledger.open_session(session, now_s=self.clock())
        return session

    def submit(self, key_text, body, *, wait_s=None):
        """Run a submission once and return its answer.

        Parameters
        ----------
        key_text : str
            The idempotency key.
        body : bytes
            JSON of the submission.
        wait_s : float, optional
            Longest wait for the end, in seconds; by default as the submission says.

        Returns
        -------
        Answer
            The job's answer; ``done`` is False where it still runs.
        """
        key = parse_key(key_text)
        self._await_unfrozen()
        if isinstance(key, CallerKey):
            return self._submit_claimed(key, body, wait_s)
        owner = self._owner_of(key)
        if owner == self.incarnation:
            return self._submit_owned(key, body, wait_s)
        self.counts["forwarded"] += 1
        submission = self._parse(body)
        wait_s = self._wait_s(submission, wait_s)
        return self.forwarder.submit(owner, key_text, body, wait_s=wait_s)

    def status(self, key_text, *, wait_s=0.0):
        """Return the state of a key, waiting up to `wait_s` seconds for its end."""
        key = parse_key(key_text)
        self._await_unfrozen()
        owner = self._find_owner(key)
        if owner != self.incarnation:
            return self.forwarder.wait(owner, key_text, wait_s=wait_s)
        record = self._find_record(key)
        return wait_for_record(record, wait_s)

    def cancel(self, key_text):
        """Cancel the job of a key and return its state afterwards."""
        key = parse_key(key_text)
        self._await_unfrozen()
        owner = self._find_owner(key)
        if owner != self.incarnation:
            return self.forwarder.cancel(owner, key_text)
        return self._cancel_owned(key)

    def _owner_of(self, key):
        if key.session in self.ledger.sessions and self.handed_over_to is None:
            return self.incarnation
        return self._current_owner(key.owner)

    def _current_owner(self, incarnation):
        """Return the process that answers for `incarnation` now."""
        if incarnation == self.incarnation:
            return self.handed_over_to or self.incarnation
        return self.peers.successor_of(incarnation) or incarnation

    def _find_owner(self, key):
        if not isinstance(key, CallerKey):
            return self._owner_of(key)
        if self.ledger.find_claim(key.text) is not None and self.handed_over_to is None:
            return self.incarnation
        claim = self.claims.read(key.text)
        if claim is None:
            raise BurdocklugError(ErrorKind.NOT_FOUND, f"no job has the key {key.text}")
        return self._current_owner(claim.owner)

    def _find_record(self, key):
        if isinstance(key, CallerKey):
            record = self.ledger.find_claim(key.text)
        else:
            record = self.ledger.find(key.session, key.sequence)
        if record is None:
            raise BurdocklugError(ErrorKind.NOT_FOUND, f"no job has the key {key.text}")
        return record

    def _parse(self, body):
        return parse_submission(
            body, max_tasks=self.settings.max_tasks, max_deadline_s=self.settings.max_deadline_s
        )

    def _wait_s(self, submission, wait_s):
        if wait_s is not None:
            return wait_s
        if not submission.wait:
            return 0.0
        return submission.deadline_s or self.settings.default_deadline_s

    def _submit_owned(self, key, body, wait_s):
        submission = self._parse(body)
        digest = submission_digest(submission)
        now = self.clock()
        record, is_new = self.ledger.enter(key.session, key.sequence, digest, now_s=now)
        self.ledger.acknowledge(key.session, min(submission.acknowledged, key.sequence - 1))
        if is_new:
            self._start(record, submission)
        else:
            self.counts["resubmitted"] += 1
        return wait_for_record(record, self._wait_s(submission, wait_s))

    def _start(self, record, submission):
        """Start the job of a new record, or store the refusal as the record's answer."""
        self.counts["submitted"] += 1
        try:
            if self.draining:
                raise BurdocklugError(ErrorKind.SHUTTING_DOWN, "this process is shutting down")
            self.dispatcher.start(record, submission)
        except BurdocklugError as exc:
            self.counts["refused"] += 1
            answer = encode_error(exc, key=record.key)
            self.ledger.finish(record, answer.status, answer.body, exc.retry_after_s)

    def _submit_claimed(self, key, body, wait_s):
        submission = self._parse(body)
        self._check_age(key)
        record, owner = self._claimed_record(key, submission)
        wait_s = self._wait_s(submission, wait_s)
        if record is not None:
            return wait_for_record(record, wait_s)
        if owner == self.incarnation:
            raise BurdocklugError(
                ErrorKind.KEY_EXPIRED, f"the answer of key {key.text} is no longer kept"
            )
        self.counts["forwarded"] += 1
        return self.forwarder.wait(owner, key.text, wait_s=wait_s)

    def _check_age(self, key):
        age_s = self.wall_clock() - key.time_s
        if age_s < -CLOCK_SKEW_S:
            raise BurdocklugError(
                ErrorKind.BAD_REQUEST,
                f"key {key.text} names a time {-age_s:.0f} s ahead",
                path="header Idempotency-Key",
            )
        if age_s > self.settings.claim_window_s - CLOCK_SKEW_S:
            raise BurdocklugError(ErrorKind.KEY_EXPIRED, f"key {key.text} is {age_s:.0f} s old")

    def _claimed_record(self, key, submission):
        """Return this process's record of a caller key, or None, and the key's owner."""
        digest = submission_digest(submission)
        while key.text in self._claiming:
            self._claiming[key.text].wait()
        record = self.ledger.find_claim(key.text)
        if record is not None:
            check_digest(record, digest)
            self.counts["resubmitted"] += 1
            return record, self.incarnation
        claim, won = self._claim_alone(key, digest)
        if claim.digest != digest:
            raise BurdocklugError(
                ErrorKind.KEY_CONFLICT, f"key {key.text} was used with another body"
            )
        if won:
            return self._start_claimed(key, submission, digest), self.incarnation
        return None, self._current_owner(claim.owner)

    def _claim_alone(self, key, digest):
        self._claiming[key.text] = Event()
        try:
            if self.draining:
                raise BurdocklugError(
                    ErrorKind.SHUTTING_DOWN, "this process is shutting down", ran="unknown"
                )
            return self.claims.win(key.text, digest)
        finally:
            self._claiming.pop(key.text).send(None)

    def _start_claimed(self, key, submission, digest):
        record = self.ledger.enter_claim(key.text, digest)
        try:
            self._check_age(key)
        except BurdocklugError as exc:
            answer = encode_error(exc, key=key.text)
            self.ledger.finish(record, answer.status, answer.body)
            return record
        self._start(record, submission)
        return record

    def _on_submit(self, _sender, message):
        return self._reply(lambda: self._submit_forwarded(message))

    def _submit_forwarded(self, message):
        key = parse_key(message.key)
        self._await_unfrozen()
        if self.handed_over_to is not None:
            return self.forwarder.submit(
                self.handed_over_to, message.key, message.body, wait_s=message.wait_s
            )
        if self._owner_of(key) != self.incarnation:
            raise BurdocklugError(ErrorKind.OWNER_LOST, f"{message.key} is not owned here")
        return self._submit_owned(key, message.body, message.wait_s)

    def _on_await(self, _sender, message):
        return self._reply(lambda: self._await_forwarded(message))

    def _await_forwarded(self, message):
        key = parse_key(message.key)
        self._await_unfrozen()
        if self.handed_over_to is not None:
            return self.forwarder.wait(self.handed_over_to, message.key, wait_s=message.wait_s)
        return wait_for_record(self._find_record(key), message.wait_s)

    def _on_cancel(self, _sender, message):
        return self._reply(lambda: self._cancel_forwarded(message))

    def _cancel_forwarded(self, message):
        key = parse_key(message.key)
        self._await_unfrozen()
        if self.handed_over_to is not None:
            return self.forwarder.cancel(self.handed_over_to, message.key)
        return self._cancel_owned(key)

    def _cancel_owned(self, key):
        record = self._find_record(key)
        if record.job is not None:
            self.dispatcher.cancel(record.job)
        return wait_for_record(record, 0.0)

    def _reply(self, action):
        try:
            answer = action()
        except BurdocklugError as exc:
            answer = encode_error(exc)
        return JobReply(answer.status, answer.body, answer.done, answer.retry_after_s)
