"""HTTP client that submits jobs and resubmits them under the same key until they are answered."""

import itertools
import random
import time
from dataclasses import dataclass, field

import msgspec
import urllib3

from burdocklug.kernel import BurdocklugError, ErrorKind, Ran

__all__ = ["Client", "JobFailed", "JobOutcome"]

CONNECT_TIMEOUT_S = 1.0
READ_MARGIN_S = 2.0  # the read timeout of a request is its requested wait plus this
MAX_REQUEST_WAIT_S = 10.0  # longest wait that one request asks for
FIRST_BACKOFF_S = 0.05  # upper bound of the first random delay; doubled for each further one
MAX_BACKOFF_S = 1.0
JSON_HEADERS = {"Content-Type": "application/json"}


class _ErrorBody(msgspec.Struct):
    kind: str
    message: str
    ran: str = "unknown"
    path: str | None = None
    retry_after_s: float | None = None
    task: int | None = None


class _Answer(msgspec.Struct):
    job: str | None = None
    state: str = "failed"
    results: list | None = None
    error: _ErrorBody | None = None


class _SessionAnswer(msgspec.Struct):
    session: str


@dataclass(slots=True)
class _OpenSession:
    """A session of this client: the last sequence number used and those without an answer yet."""

    session: str
    sequence: int = 0
    pending: set = field(default_factory=set)

    def acknowledged(self):
        return min(self.pending, default=self.sequence + 1) - 1


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """A complete job: its key, its results in task order, and the number of requests it took."""

    key: str
    results: list
    requests: int


class JobFailed(BurdocklugError):
    """Raised if a job was refused, failed, or has an unknown outcome.

    `kind` is the reason, `ran` whether a task may have run, `retry_after_s` when to try again.

    Parameters
    ----------
    kind : ErrorKind
        Error kind of the answer.
    message : str
        Message of the answer.
    key : str or None
        Idempotency key of the job.
    """

    def __init__(self, kind, message, *, key=None, **more):
        super().__init__(kind, message, **more)
        self.key = key


class Client:
    """Client of the callers' interface, over one or more addresses.

    Parameters
    ----------
    addresses : list of str
        ``IP:port`` of the load balancer, or of several hosts that are used in rotation.
    team : str
        Team to which the jobs are charged.
    seed : int, optional
        Seed of the jitter between attempts.

    Notes
    -----
    Greenlets or threads may share a client. Sequence numbers count up, and each submission
    acknowledges all answers below the lowest sequence number without an answer.
    """

    def __init__(self, addresses, *, team, seed=None):
        self._addresses = itertools.cycle(addresses)
        self._pool = urllib3.PoolManager(retries=False, maxsize=64, block=False)
        self._rng = random.Random(seed)
        self.team = team
        self._session = None
        self.requests = 0

    def submit(self, service, tasks, *, deadline_s=60.0, key=None, refusals=3):
        """Submit a job and wait until it is complete.

        Parameters
        ----------
        service : str
            Name of the service.
        tasks : list of dict
            Tasks with ``payload`` and, optionally, ``declared_s`` and ``accelerators``.
        deadline_s : float, optional
            Deadline of the job, in seconds from now; this call gives up at the same time.
        key : str, optional
            Idempotency key chosen by the caller; by default the next key of the client's session.
        refusals : int, optional
            How often a refused job of which no task has run is submitted again under a new key.
            It has no effect for a job with a `key` of the caller.

        Returns
        -------
        JobOutcome
            The results.

        Raises
        ------
        JobFailed
            If the job was refused or failed, or its outcome is unknown.
        """
        until_s = time.monotonic() + deadline_s
        while True:
            try:
                return self._submit_once(service, tasks, until_s, key)
            except JobFailed as exc:
                pause_s = exc.retry_after_s
                can_retry = (
                    key is None and exc.ran == Ran.NO and pause_s is not None and refusals > 0
                )
                if not can_retry or time.monotonic() + pause_s >= until_s:
                    raise
                refusals -= 1
                self._drop_session(exc)
                time.sleep(pause_s)

    def _submit_once(self, service, tasks, until_s, caller_key):
        if caller_key is not None:
            return self._submit_with_key(caller_key, service, tasks, until_s, None)
        if self._session is None:
            self._session = _OpenSession(self._open_session(until_s))
        session = self._session
        session.sequence += 1
        sequence = session.sequence
        session.pending.add(sequence)
        key = f"{session.session}~{sequence}"
        try:
            return self._submit_with_key(key, service, tasks, until_s, session)
        finally:
            session.pending.discard(sequence)

    def _open_session(self, until_s):
        last_error = None
        for pause_s in self._backoff_delays(until_s):
            try:
                status, body = self._request("POST", "/v1/sessions", until_s=until_s)
            except urllib3.exceptions.HTTPError as exc:
                last_error = f"no answer: {type(exc).__name__}"
            else:
                if status == 201:
                    return msgspec.json.decode(body, type=_SessionAnswer).session
                last_error = _parse_answer(body).error.message
            time.sleep(pause_s)
        raise JobFailed(ErrorKind.PEER_UNREACHABLE, f"no session: {last_error}", ran=Ran.NO)

    def _drop_session(self, exc):
        if exc.kind in (ErrorKind.SHUTTING_DOWN, ErrorKind.SESSION_UNKNOWN):
            self._session = None

    def _submit_with_key(self, key, service, tasks, until_s, session):
        body = None
        last_error = None
        requests_before = self.requests
        for pause_s in self._backoff_delays(until_s):
            left_s = max(0.1, until_s - time.monotonic())
            body = body or self._encode_job(service, tasks, left_s, session)
            try:
                answer = self._post_job(key, body, min(left_s, MAX_REQUEST_WAIT_S), until_s)
            except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as exc:
                last_error = f"{type(exc).__name__}: {exc}"
                time.sleep(pause_s)
                continue
            if answer.state == "complete":
                return JobOutcome(key, answer.results, self.requests - requests_before)
            if answer.state != "running" and not _is_transient(answer.error):
                self._raise_failure(key, answer.error)
            last_error = answer.error.message if answer.error else "still running"
        raise JobFailed(
            ErrorKind.OUTCOME_UNKNOWN, f"no answer by the deadline: {last_error}", key=key
        )

    def _encode_job(self, service, tasks, left_s, session):
        return msgspec.json.encode(
            {
                "service": service,
                "team": self.team,
                "tasks": tasks,
                "deadline_s": left_s,
                "acknowledged": 0 if session is None else session.acknowledged(),
            }
        )

    def _post_job(self, key, body, wait_s, until_s):
        path = f"/v1/jobs?wait_s={wait_s:.3f}"
        headers = {"Idempotency-Key": key, **JSON_HEADERS}
        _, answer = self._request("POST", path, body=body, headers=headers, until_s=until_s)
        return _parse_answer(answer)

    def _raise_failure(self, key, error):
        if error.kind in (ErrorKind.OWNER_LOST, ErrorKind.SESSION_UNKNOWN):
            self._session = None
        raise JobFailed(
            ErrorKind(error.kind),
            error.message,
            key=key,
            path=error.path,
            retry_after_s=error.retry_after_s,
            ran=Ran(error.ran),
        )

    def status(self, key, *, wait_s=0.0):
        """Return the answer for a key as decoded JSON, after waiting up to `wait_s` for the job."""
        return self._request_json("GET", f"/v1/jobs/{key}?wait_s={wait_s}", wait_s)

    def cancel(self, key):
        """Cancel the job under a key and return its answer as decoded JSON."""
        return self._request_json("DELETE", f"/v1/jobs/{key}", 0.0)

    def _request_json(self, method, path, wait_s):
        try:
            _, body = self._request(method, path, until_s=time.monotonic() + wait_s)
        except urllib3.exceptions.HTTPError as exc:
            raise JobFailed(ErrorKind.PEER_UNREACHABLE, f"{type(exc).__name__}: {exc}") from exc
        return msgspec.json.decode(body)

    def _request(self, method, path, *, until_s, body=None, headers=None):
        self.requests += 1
        left_s = max(0.1, min(MAX_REQUEST_WAIT_S, until_s - time.monotonic()))
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=left_s + READ_MARGIN_S)
        url = f"http://{next(self._addresses)}{path}"
        response = self._pool.request(
            method, url, body=body, headers=headers, timeout=timeout, redirect=False
        )
        return response.status, response.data

    def _backoff_delays(self, until_s):
        """Yield backoff delays with full jitter until the deadline, at least one."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            yield self._rng.uniform(0, backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            if time.monotonic() >= until_s:
                return


def _parse_answer(body):
    answer = msgspec.json.decode(body, type=_Answer)
    if answer.state not in ("complete", "running") and answer.error is None:
        raise msgspec.ValidationError(f"answer of state {answer.state!r} without an error")
    return answer


def _is_transient(error):
    """Return whether a later request under the same key may get another answer."""
    return error.kind == ErrorKind.CLAIM_UNCERTAIN
