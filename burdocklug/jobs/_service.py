"""Submissions: find the process that owns a key and, at the owner, run each key at most once.

A request takes the path `submit` -> owner of the key -> `submit_owned` -> `Dispatcher.start`. Any
other process forwards the request to the owner and returns the owner's answer unchanged.
"""

from eventlet.event import Event

from burdocklug.jobs._caller_keys import CallerKeySubmissions
from burdocklug.jobs._forwarding import Forwarder
from burdocklug.jobs._jobs import encode_error
from burdocklug.jobs._keys import CallerKey, mint_session, parse_key
from burdocklug.jobs._models import decoded_size_bytes, parse_submission, submission_digest
from burdocklug.jobs._peer_requests import PeerRequests
from burdocklug.jobs._waiting import wait_for_record
from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["JobService"]


class JobService:
    """Interface of the jobs package to the callers' listener and to peers.

    Parameters
    ----------
    settings : JobSettings
        Limits of jobs and submissions.
    incarnation : str
        Incarnation of this process.
    ledger : Ledger
        The submission ledger.
    dispatcher : Dispatcher
        Runs accepted jobs.
    claims : Claims
        Claims that decide the owner of each caller key.
    peers : PeerNetwork
        Network to the owners of other keys.
    clock : callable
        Returns the monotonic time, in seconds.
    wall_clock : callable
        Returns the seconds since 1970; used only to check the time in caller keys.
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
        """Block all requests until `unfreeze`, while the ledger is handed over."""
        self._frozen = Event()

    def unfreeze(self, successor):
        """Resume requests, forwarding those about owned keys to `successor` unless it is None."""
        self.handed_over_to = successor
        self._frozen.send(None)
        self._frozen = None

    def await_unfrozen(self):
        """Wait while requests are blocked by `freeze`."""
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
            Maximum time to wait for the job to end, in seconds; by default the submission decides.

        Returns
        -------
        Answer
            The answer of the job; ``done`` is False if the job is still running.
        """
        key = parse_key(key_text)
        self.await_unfrozen()
        if isinstance(key, CallerKey):
            submission = self._parse(body)
            wait_s = self._wait_s(submission, wait_s)
            return self._caller_keys.submit(key, body, submission, wait_s)
        owner = self.session_key_owner(key)
        if owner == self.incarnation:
            return self.submit_owned(key, body, wait_s)
        self.counts["forwarded"] += 1
        submission = self._parse(body)
        wait_s = self._wait_s(submission, wait_s)
        return self.forwarder.submit(owner, key_text, body, wait_s=wait_s)

    def status(self, key_text, *, wait_s=0.0):
        """Return the answer of a key's job, waiting up to `wait_s` seconds for the job to end."""
        key = parse_key(key_text)
        self.await_unfrozen()
        owner = self._find_owner(key)
        if owner != self.incarnation:
            return self.forwarder.wait(owner, key_text, wait_s=wait_s)
        record = self.find_record(key)
        return wait_for_record(record, wait_s)

    def cancel(self, key_text):
        """Cancel the job of a key and return the resulting answer."""
        key = parse_key(key_text)
        self.await_unfrozen()
        owner = self._find_owner(key)
        if owner != self.incarnation:
            return self.forwarder.cancel(owner, key_text)
        return self.cancel_owned(key)

    def session_key_owner(self, key):
        """Return the incarnation of the process that owns a session key."""
        if key.session in self.ledger.sessions and self.handed_over_to is None:
            return self.incarnation
        return self.resolve_owner(key.owner)

    def resolve_owner(self, incarnation):
        """Return `incarnation`, or its successor if it has handed its ledger over."""
        if incarnation == self.incarnation:
            return self.handed_over_to or self.incarnation
        return self.peers.successor_of(incarnation) or incarnation

    def _find_owner(self, key):
        if isinstance(key, CallerKey):
            return self._caller_keys.find_owner(key)
        return self.session_key_owner(key)

    def find_record(self, key):
        """Return the record of a key that this process owns.

        Raises
        ------
        BurdocklugError
            Of kind ``not_found``, ``key_expired`` or ``session_unknown``.
        """
        if isinstance(key, CallerKey):
            record = self.ledger.find_caller_key_record(key.text)
        else:
            record = self.ledger.find(key.session, key.sequence)
        if record is None:
            raise BurdocklugError(ErrorKind.NOT_FOUND, f"no job with key {key.text}")
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
        """Run a submission of a session that this process owns; arguments as for `submit`."""
        submission = self._parse(body)
        digest = submission_digest(submission)
        now = self.clock()
        record, is_new = self.ledger.get_or_add(key.session, key.sequence, digest, now_s=now)
        self.ledger.acknowledge(key.session, min(submission.acknowledged, key.sequence - 1))
        if is_new:
            self.start_job(record, submission, size_bytes=decoded_size_bytes(body))
        else:
            self.counts["resubmitted"] += 1
        return wait_for_record(record, self._wait_s(submission, wait_s))

    def start_job(self, record, submission, *, size_bytes):
        """Start the job of a new record; if it is refused, the refusal becomes its answer."""
        self.counts["submitted"] += 1
        try:
            if self.draining:
                raise BurdocklugError(ErrorKind.SHUTTING_DOWN, "this process is shutting down")
            self.dispatcher.start(record, submission, size_bytes=size_bytes)
        except BurdocklugError as exc:
            self.counts["refused"] += 1
            answer = encode_error(exc, key=record.key)
            self.ledger.finish(record, answer.status, answer.body, exc.retry_after_s)

    def cancel_owned(self, key):
        """Cancel the job of a key that this process owns and return the resulting answer."""
        record = self.find_record(key)
        if record.job is not None:
            self.dispatcher.cancel(record.job)
        return wait_for_record(record, 0.0)
