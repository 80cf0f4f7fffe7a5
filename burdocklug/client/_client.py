"""Submits jobs, resubmitting them under the same key until the answer is known."""

import itertools
import random
import time
from dataclasses import dataclass, field

import msgspec
import urllib3

from burdocklug.kernel import BurdocklugError, ErrorKind, Ran

__all__ = ["Client", "JobFailed", "JobOutcome"]

CONNECT_TIMEOUT_S = 1.0
READ_MARGIN_S = 2.0  # beyond the wait that was asked for
WAIT_SLICE_S = 10.0  # longest wait of one request
PAUSE_S = 0.05
PAUSE_MAX_S = 1.0
JSON_HEADERS = {"Content-Type": "application/json"}


class _ErrorPart(msgspec.Struct):
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
    error: _ErrorPart | None = None


class _Session(msgspec.Struct):
    session: str


@dataclass(slots=True)
class _OpenSession:
    """A session of this client: its last sequence and the sequences still awaited."""

    session: str
    sequence: int = 0
    awaited: set = field(default_factory=set)

    def acknowledged(self):
        return min(self.awaited, default=self.sequence + 1) - 1


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """A complete job: its key, its results in the order of its tasks, the requests it took."""

    key: str
    results: list
    requests: int


class JobFailed(BurdocklugError):
    """Raised for a refused or failed job; `kind`, `ran` and `retry_after_s` say how.

    Parameters
    ----------
    kind : ErrorKind
        The error kind of the answer.
    message : str
        The answer's message.
    key : str or None
        The job's key.
    """

    def __init__(self, kind, message, *, key=None, **more):
        super().__init__(kind, message, **more)
        self.key = key


class Client:
    """A caller's client over one or more entry addresses.

    Parameters
    ----------
    addresses : list of str
        ``IP:port`` of the balancer, or of entry hosts that are tried in turn.
    team : str
        The team that pays for the jobs.
    seed : int, optional
        Seed of the pauses between tries.

    Notes
    -----
    Greenlets or threads may share a client. Sequences count up, and each submission acknowledges
    the answers under the lowest sequence that is still awaited.
    """

    def __init__(self, addresses, *, team, seed=None):
        self._addresses = itertools.cycle(addresses)
        self._pool = urllib3.PoolManager(retries=False, maxsize=64, block=False)
        self._rng = random.Random(seed)
        self.team = team
        self._session = None
        self.requests = 0

    def submit(self, service, tasks, *, deadline_s=60.0, key=None, refusals=3):
        """Run a job and return its whole answer.

        Parameters
        ----------
        service : str
            The service.
        tasks : list of dict
            Tasks with ``payload`` and, optionally, ``declared_s`` and ``accelerators``.
        deadline_s : float, optional
            Seconds that the job has; also how long this call tries.
        key : str, optional
            The caller's own key; one of this client's session by default.
        refusals : int, optional
            How many refusals that say "not run" are tried again under a new key.

        Returns
        -------
        JobOutcome
            The results.

        Raises
        ------
        JobFailed
            Where the job was refused or failed, or its outcome can't be known.
        """
        until_s = time.monotonic() + deadline_s
        while True:
            try:
                return self._submit_once(service, tasks, until_s, key)
            except JobFailed as exc:
                pause_s = exc.retry_after_s
                again = key is None and exc.ran == Ran.NO and pause_s is not None and refusals > 0
                if not again or time.monotonic() + pause_s >= until_s:
                    raise
                refusals -= 1
                self._drop_session(exc)
                time.sleep(pause_s)

    def _submit_once(self, service, tasks, until_s, own_key):
        if own_key is not None:
            return self._submit_under(own_key, service, tasks, until_s, None)
        if self._session is None:
            self._session = _OpenSession(self._open_session(until_s))
        session = self._session
        session.sequence += 1
        sequence = session.sequence
        session.awaited.add(sequence)
        key = f"{session.session}~{sequence}"
        try:
            return self._submit_under(key, service, tasks, until_s, session)
        finally:
            session.awaited.discard(sequence)

    def _open_session(self, until_s):
        fault = None
        for pause_s in self._pauses(until_s):
            try:
                status, body = self._request("POST", "/v1/sessions", until_s=until_s)
            except urllib3.exceptions.HTTPError as exc:
                fault = f"no answer: {type(exc).__name__}"
            else:
                if status == 201:
                    return msgspec.json.decode(body, type=_Session).session
                fault = _parse_answer(body).error.message
            time.sleep(pause_s)
        raise JobFailed(ErrorKind.PEER_UNREACHABLE, f"no session: {fault}", ran=Ran.NO)

    def _drop_session(self, exc):
        if exc.kind in (ErrorKind.SHUTTING_DOWN, ErrorKind.SESSION_UNKNOWN):
            self._session = None

    def _submit_under(self, key, service, tasks, until_s, session):
        body = None
        fault = None
        before = self.requests
        for pause_s in self._pauses(until_s):
            left_s = max(0.1, until_s - time.monotonic())
            body = body or self._body(service, tasks, left_s, session)
            try:
                answer = self._try(key, body, min(left_s, WAIT_SLICE_S), until_s)
            except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as exc:
                fault = f"{type(exc).__name__}: {exc}"
                time.sleep(pause_s)
                continue
            if answer.state == "complete":
                return JobOutcome(key, answer.results, self.requests - before)
            if answer.state != "running" and not _is_transient(answer.error):
                self._raise(key, answer.error)
            fault = answer.error.message if answer.error else "still running"
        raise JobFailed(ErrorKind.OUTCOME_UNKNOWN, f"no answer by the deadline: {fault}", key=key)

    def _body(self, service, tasks, left_s, session):
        return msgspec.json.encode(
            {
                "service": service,
                "team": self.team,
                "tasks": tasks,
                "deadline_s": left_s,
                "acknowledged": 0 if session is None else session.acknowledged(),
            }
        )

    def _try(self, key, body, wait_s, until_s):
        path = f"/v1/jobs?wait_s={wait_s:.3f}"
        headers = {"Idempotency-Key": key, **JSON_HEADERS}
        _, answer = self._request("POST", path, body=body, headers=headers, until_s=until_s)
        return _parse_answer(answer)

    def _raise(self, key, error):
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
        """Return the answer of a key as decoded JSON."""
        return self._ask("GET", f"/v1/jobs/{key}?wait_s={wait_s}", wait_s)

    def cancel(self, key):
        """Cancel the job of a key and return its answer as decoded JSON."""
        return self._ask("DELETE", f"/v1/jobs/{key}", 0.0)

    def _ask(self, method, path, wait_s):
        try:
            _, body = self._request(method, path, until_s=time.monotonic() + wait_s)
        except urllib3.exceptions.HTTPError as exc:
            raise JobFailed(ErrorKind.PEER_UNREACHABLE, f"{type(exc).__name__}: {exc}") from exc
        return msgspec.json.decode(body)

    def _request(self, method, path, *, until_s, body=None, headers=None):
        self.requests += 1
        left_s = max(0.1, min(WAIT_SLICE_S, until_s - time.monotonic()))
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=left_s + READ_MARGIN_S)
        url = f"http://{next(self._addresses)}{path}"
        response = self._pool.request(
            method, url, body=body, headers=headers, timeout=timeout, redirect=False
        )
        return response.status, response.data

    def _pauses(self, until_s):
        """Yield pauses with full jitter until the deadline, at least once."""
        pause_s = PAUSE_S
        while True:
            yield self._rng.uniform(0, pause_s)
            pause_s = min(PAUSE_MAX_S, 2 * pause_s)
            if time.monotonic() >= until_s:
                return


def _parse_answer(body):
    answer = msgspec.json.decode(body, type=_Answer)
    if answer.state not in ("complete", "running") and answer.error is None:
        raise msgspec.ValidationError(f"answer of state {answer.state!r} without an error")
    return answer


def _is_transient(error):
    """Return whether the same key may get another answer later."""
    return error.kind == ErrorKind.CLAIM_UNCERTAIN
