"""Submissions under caller keys, whose owner is decided by a claim in the platform's store."""

from eventlet.event import Event

from burdocklug.jobs._jobs import encode_error
from burdocklug.jobs._ledger import check_digest
from burdocklug.jobs._models import decoded_size_bytes, submission_digest
from burdocklug.jobs._waiting import wait_for_record
from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["CallerKeySubmissions"]

MAX_CLOCK_SKEW_S = 60.0  # how far the time in a caller key may be ahead of this host's clock


class CallerKeySubmissions:
    """Starts the job of a caller key only if this process has just acquired the key's claim.

    Parameters
    ----------
    service : JobService
        Starts jobs and forwards requests to other owners.
    claims : Claims
        Claims of caller keys in the store.
    """

    def __init__(self, service, claims):
        self._service = service
        self._ledger = service.ledger
        self._claims = claims
        self._claims_in_flight = {}

    def submit(self, key, body, submission, wait_s):
        """Return the answer of a submission under a caller key.

        Parameters
        ----------
        key : CallerKey
            The idempotency key.
        body : bytes
            JSON of the submission, forwarded if another process owns the key.
        submission : JobSubmission
            The parsed submission.
        wait_s : float
            Maximum time to wait for the job to end, in seconds.

        Returns
        -------
        Answer
            The answer of the job.

        Raises
        ------
        BurdocklugError
            Of kind ``bad_request`` or ``key_expired`` for the time in the key, ``key_conflict``
            for another body, ``claim_uncertain`` or ``shutting_down``.
        """
        self._check_age(key)
        record, owner = self._find_or_start(key, submission, size_bytes=decoded_size_bytes(body))
        if record is not None:
            return wait_for_record(record, wait_s)
        if owner == self._service.incarnation:
            raise BurdocklugError(
                ErrorKind.KEY_EXPIRED, f"the answer of key {key.text} is no longer stored"
            )
        self._service.counts["forwarded"] += 1
        return self._service.forwarder.submit(owner, key.text, body, wait_s=wait_s)

    def _check_age(self, key):
        age_s = self._service.wall_clock() - key.time_s
        if age_s < -MAX_CLOCK_SKEW_S:
            raise BurdocklugError(
                ErrorKind.BAD_REQUEST,
                f"the time in key {key.text} is {-age_s:.0f} s in the future",
                path="header Idempotency-Key",
            )
        if age_s > self._service.settings.claim_window_s - MAX_CLOCK_SKEW_S:
            raise BurdocklugError(ErrorKind.KEY_EXPIRED, f"key {key.text} is {age_s:.0f} s old")

    def _find_or_start(self, key, submission, *, size_bytes):
        """Return the record of a caller key and the key's owner; start the job of a new key.

        Notes
        -----
        The record is None if this process does not hold it. Requests with the same key wait for
        the one that acquires its claim.
        """
        digest = submission_digest(submission)
        while key.text in self._claims_in_flight:
            self._claims_in_flight[key.text].wait()
        record = self._ledger.find_caller_key_record(key.text)
        if record is not None:
            check_digest(record, digest)
            self._service.counts["resubmitted"] += 1
            return record, self._service.incarnation
        claim, is_new = self._acquire_claim(key, digest)
        if claim.digest != digest:
            raise BurdocklugError(
                ErrorKind.KEY_CONFLICT, f"key {key.text} was used with another body"
            )
        if is_new:
            record = self._start_claimed(key, submission, digest, size_bytes)
            return record, self._service.incarnation
        return None, self._service.resolve_owner(claim.owner)

    def _acquire_claim(self, key, digest):
        self._claims_in_flight[key.text] = Event()
        try:
            if self._service.draining:
                raise BurdocklugError(
                    ErrorKind.SHUTTING_DOWN, "this process is shutting down", ran="unknown"
                )
            return self._claims.acquire(key.text, digest)
        finally:
            self._claims_in_flight.pop(key.text).send(None)

    def _start_claimed(self, key, submission, digest, size_bytes):
        """Start the job of a claimed key unless the key has expired in the meantime."""
        record = self._ledger.add_caller_key_record(key.text, digest)
        try:
            self._check_age(key)
        except BurdocklugError as exc:
            answer = encode_error(exc, key=key.text)
            self._ledger.finish(record, answer.status, answer.body)
            return record
        self._service.start_job(record, submission, size_bytes=size_bytes)
        return record

    def find_owner(self, key):
        """Return the incarnation of the process that owns a caller key.

        Raises
        ------
        BurdocklugError
            Of kind ``not_found`` if the key has no claim, ``claim_uncertain`` if the store does
            not answer.
        """
        if (
            self._ledger.find_caller_key_record(key.text) is not None
            and not self._service.handed_over_to
        ):
            return self._service.incarnation
        claim = self._claims.read(key.text)
        if claim is None:
            raise BurdocklugError(ErrorKind.NOT_FOUND, f"no job with key {key.text}")
        return self._service.resolve_owner(claim.owner)
