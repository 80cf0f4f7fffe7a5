"""Submissions: find the owner of a key, and at the owner run each key once.

The way of a request: `submit` -> owner of the key -> `submit_owned` -> `Dispatcher.start`. Any
other process forwards to the owner and passes the owner's answer on as it is.
"""

from eventlet.event import Event

from burdocklug.jobs._caller_keys import CallerKeySubmissions
from burdocklug.jobs._forwarding import Forwarder
from burdocklug.jobs._jobs import encode_error
from burdocklug.jobs._keys import CallerKey, mint_session, parse_key
from burdocklug.jobs._models import parse_submission, submission_digest
from burdocklug.jobs._peer_requests import PeerRequests
from burdocklug.jobs._waiting import wait_for_record
from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["JobService"]


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
        self.peers = peers
        self.clock = clock
        self.wall_clock = wall_clock
        self.draining = False
        self.handed_over_to = None
        self.counts = {"submitted": 0, "resubmitted": 0, "refused": 0, "forwarded": 0}
        self._frozen = None
        self.forwarder = Forwarder(peers, is_draining=lambda: self.draining)
        self._caller_keys = CallerKeySubmissions(self, claims)
        self._peer_requests = PeerRequests(self, peers)

    def freeze(self):
        """Hold back every request about owned keys until `unfreeze`."""
        self._frozen = Event()

    def unfreeze(self, successor):
        """Let requests go on, to `successor` where there is one."""
        self.handed_over_to = successor
        self._frozen.send(None)
        self._frozen = None

    def await_unfrozen(self):
        """Wait while the ledger is handed over."""
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
        self.await_unfrozen()
        if isinstance(key, CallerKey):
            submission = self._parse(body)
            wait_s = self._wait_s(submission, wait_s)
            return self._caller_keys.submit(key, body, submission, wait_s)
        owner = self.owner_of(key)
        if owner == self.incarnation:
            return self.submit_owned(key, body, wait_s)
        self.counts["forwarded"] += 1
        submission = self._parse(body)
        wait_s = self._wait_s(submission, wait_s)
        return self.forwarder.submit(owner, key_text, body, wait_s=wait_s)

    def status(self, key_text, *, wait_s=0.0):
        """Return the state of a key, waiting up to `wait_s` seconds for its end."""
        key = parse_key(key_text)
        self.await_unfrozen()
        owner = self._find_owner(key)
        if owner != self.incarnation:
            return self.forwarder.wait(owner, key_text, wait_s=wait_s)
        record = self.find_record(key)
        return wait_for_record(record, wait_s)

    def cancel(self, key_text):
        """Cancel the job of a key and return its state afterwards."""
        key = parse_key(key_text)
        self.await_unfrozen()
        owner = self._find_owner(key)
        if owner != self.incarnation:
            return self.forwarder.cancel(owner, key_text)
        return self.cancel_owned(key)

    def owner_of(self, key):
        """Return the incarnation that answers for a session key."""
        if key.session in self.ledger.sessions and self.handed_over_to is None:
            return self.incarnation
        return self.current_owner(key.owner)

    def current_owner(self, incarnation):
        """Return the process that answers for `incarnation` now."""
        if incarnation == self.incarnation:
            return self.handed_over_to or self.incarnation
        return self.peers.successor_of(incarnation) or incarnation

    def _find_owner(self, key):
        if isinstance(key, CallerKey):
            return self._caller_keys.owner_of(key)
        return self.owner_of(key)

    def find_record(self, key):
        """Return the record of an owned key.

        Raises
        ------
        BurdocklugError
            Of kind ``not_found``, ``key_expired`` or ``session_unknown``.
        """
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

    def submit_owned(self, key, body, wait_s):
        """Run a submission of a session that this process owns; see `submit`."""
        submission = self._parse(body)
        digest = submission_digest(submission)
        now = self.clock()
        record, is_new = self.ledger.enter(key.session, key.sequence, digest, now_s=now)
        self.ledger.acknowledge(key.session, min(submission.acknowledged, key.sequence - 1))
        if is_new:
            self.start(record, submission)
        else:
            self.counts["resubmitted"] += 1
        return wait_for_record(record, self._wait_s(submission, wait_s))

    def start(self, record, submission):
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

    def cancel_owned(self, key):
        """Cancel a job that this process owns; see `cancel`."""
        record = self.find_record(key)
        if record.job is not None:
            self.dispatcher.cancel(record.job)
        return wait_for_record(record, 0.0)
