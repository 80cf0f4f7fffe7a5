"""HTTP interface for clients.

The host and a path prefix of a request select the queue; the rest of the path is the job's id.
"""

import re

import msgspec

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.platform._jobs import decode_job
from burdocklug.web import Application, Request, Response, json_response

__all__ = ["ClientsApp", "ReadinessApp"]

MAX_WAIT_S = 3600.0  # for a job's outcome
MAX_WAIT_DIGITS = 15  # of a time in milliseconds; more are over `MAX_WAIT_S`
JOB_ID = re.compile(r"[0-9a-fA-F]{16}")


class StateAnswer(msgspec.Struct, frozen=True):
    """The state of a job."""

    state: str


class PendingAnswer(msgspec.Struct, frozen=True):
    """Number of jobs in a queue that have not started any task."""

    pending: int


class ClientsApp(Application):
    """WSGI application of the clients' listener.

    Parameters
    ----------
    pool : PoolPart
        The pool to which jobs are submitted.
    body_timeout_s : float
        Longest time for a complete request body to arrive, in seconds.
    max_tasks : int
        Largest number of tasks in a job.
    """

    def __init__(self, pool, *, body_timeout_s, max_tasks):
        super().__init__()
        self._pool = pool
        self._body_timeout_s = body_timeout_s
        self._max_tasks = max_tasks

    def respond(self, environ):
        """Return the response to one request."""
        try:
            return self._respond(environ)
        finally:
            # A client that keeps its connection open stays with this process; closing the
            # connection makes it connect to another one.
            if self._pool.draining:
                environ["burdocklug.close"] = True

    def _respond(self, environ):
        configuration = self._pool.directory.configuration
        if self._pool.is_refusing:
            raise BurdocklugError(ErrorKind.SHUTTING_DOWN, "this process is shutting down")
        host, path = environ.get("HTTP_HOST", ""), environ["PATH_INFO"]
        queue = self._pool.directory.resolve_queue(host.partition(":")[0], path)
        req = Request(environ, {}, configuration.max_body_bytes, self._body_timeout_s)
        job_id = path[len(queue.prefix) :]
        return self._dispatch(environ["REQUEST_METHOD"], queue, job_id, req, configuration.version)

    def _dispatch(self, method, queue, job_id, req, version):
        if method == "GET" and not job_id:
            return json_response(200, PendingAnswer(self._pool.pending(queue.name)))
        if not JOB_ID.fullmatch(job_id):
            raise BurdocklugError(
                ErrorKind.BAD_REQUEST, f"{job_id[:40]!r} is not 16 hexadecimal digits", path="path"
            )
        if method == "POST":
            return self._submit(queue, job_id, req, version)
        if method == "GET":
            return _state_response(self._pool.cells.state(job_id))
        if method == "DELETE":
            return _state_response(self._pool.cells.cancel(job_id))
        raise BurdocklugError(ErrorKind.METHOD_NOT_ALLOWED, f"{method[:20]} is not served")

    def _submit(self, queue, job_id, req, version):
        spec = decode_job(
            job_id,
            queue,
            req.read_body(),
            max_tasks=self._max_tasks,
            configuration_version=version,
        )
        req.account.hold(spec.size_bytes)
        wait_s = _wait_s(req, queue)
        with req.watch_connection() as connection:
            outcome = self._pool.cells.submit(spec, wait_s=wait_s, caller=connection)
        return json_response(200, StateAnswer(str(outcome)))


def _wait_s(req, queue):
    text = req.header("X-Deadline-Ms")
    if text is None:
        return queue.timeout_s
    if not (text.isascii() and text.isdigit()):
        raise BurdocklugError(
            ErrorKind.BAD_REQUEST,
            f"{text[:40]!r} is not a time in milliseconds",
            path="header X-Deadline-Ms",
        )
    if len(text.lstrip("0")) > MAX_WAIT_DIGITS:
        return MAX_WAIT_S
    return min(int(text) / 1000, MAX_WAIT_S)


def _state_response(state):
    if not state:
        return Response(410, b"{}")
    return json_response(200, StateAnswer(state))


class ReadinessApp(Application):
    """WSGI application of the readiness listener.

    Parameters
    ----------
    is_ready : callable
        Returns whether the process accepts requests from clients.
    """

    def __init__(self, is_ready):
        super().__init__()
        self._is_ready = is_ready

    def respond(self, _environ):
        """Return status 200 if the process is ready, otherwise 503."""
        return Response(200 if self._is_ready() else 503, b"{}")
