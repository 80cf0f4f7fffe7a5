"""Submissions under callers' own keys, whose owner a claim in the platform's store decides."""

from eventlet.event import Event

from burdocklug.jobs._jobs import encode_error
from burdocklug.jobs._ledger import check_digest
from burdocklug.jobs._models import submission_digest
from burdocklug.jobs._waiting import wait_for_record
from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["CallerKeySubmissions"]

CLOCK_SKEW_S = 60.0  # a caller key's time may lie this far ahead of this host's clock


class CallerKeySubmissions:
    """Starts the job of a caller key only where this process has just won the key's claim.

    Parameters
    ----------
    service : JobService
        Starts jobs and forwards to other owners.
    claims : Claims
        Decides the owner of a key.
    """

    def __init__(self, service, claims):
        self._service = service
        self._ledger = service.ledger
        self._claims = claims
        self._claiming = {}

    def submit(self, key, body, submission, wait_s):
        """Return the answer of a submission under a caller key.

        Parameters
        ----------
        key : CallerKey
            The key.
        body : bytes
            JSON of the submission, for another owner.
        submission : JobSubmission
            What to run.
        wait_s : float
            Longest wait for the end, in seconds.
        """
        self._check_age(key)
        record, owner = self._claimed_record(key, submission)
        if record is not None:
            return wait_for_record(record, wait_s)
        if owner == self._service.incarnation:
            raise BurdocklugError(
                ErrorKind.KEY_EXPIRED, f"the answer of key {key.text} is no longer kept"
            )
        self._service.counts["forwarded"] += 1
        return self._service.forwarder.submit(owner, key.text, body, wait_s=wait_s)

    def _check_age(self, key):
        age_s = self._service.wall_clock() - key.time_s
        if age_s < -CLOCK_SKEW_S:
            raise BurdocklugError(
                ErrorKind.BAD_REQUEST,
                f"key {key.text} names a time {-age_s:.0f} s ahead",
                path="header Idempotency-Key",
            )
        if age_s > self._service.settings.claim_window_s - CLOCK_SKEW_S:
            raise BurdocklugError(ErrorKind.KEY_EXPIRED, f"key {key.text} is {age_s:.0f} s old")

    def _claimed_record(self, key, submission):
        """Return this process's record of a caller key, or None, and the key's owner."""
        digest = submission_digest(submission)
        while key.text in self._claiming:
            self._claiming[key.text].wait()
        record = self._ledger.find_claim(key.text)
        if record is not None:
            check_digest(record, digest)
            self._service.counts["resubmitted"] += 1
            return record, self._service.incarnation
        claim, won = self._claim_alone(key, digest)
        if claim.digest != digest:
            raise BurdocklugError(
                ErrorKind.KEY_CONFLICT, f"key {key.text} was used with another body"
            )
        if won:
            return self._start_claimed(key, submission, digest), self._service.incarnation
        return None, self._service.current_owner(claim.owner)

    def _claim_alone(self, key, digest):
        self._claiming[key.text] = Event()
        try:
            if self._service.draining:
                raise BurdocklugError(
                    ErrorKind.SHUTTING_DOWN, "this process is shutting down", ran="unknown"
                )
            return self._claims.win(key.text, digest)
        finally:
            self._claiming.pop(key.text).send(None)

    def _start_claimed(self, key, submission, digest):
        record = self._ledger.enter_claim(key.text, digest)
        try:
            self._check_age(key)
        except BurdocklugError as exc:
            answer = encode_error(exc, key=key.text)
            self._ledger.finish(record, answer.status, answer.body)
            return record
        self._service.start(record, submission)
        return record

    def owner_of(self, key):
        """Return the incarnation that answers for a caller key.

        Raises
        ------
        BurdocklugError
            Of kind ``not_found`` where nobody has claimed it, ``claim_uncertain`` where the
            store does not say.
        """
        if self._ledger.find_claim(key.text) is not None and not self._service.handed_over_to:
            return self._service.incarnation
        claim = self._claims.read(key.text)
        if claim is None:
            raise BurdocklugError(ErrorKind.NOT_FOUND, f"no job has the key {key.text}")
        return self._service.current_owner(claim.owner)
