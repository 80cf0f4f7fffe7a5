"""Routes of the callers' listener: sessions, jobs, health, metrics."""

import msgspec

from burdocklug.jobs import decoded_size_bytes
from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.web import Response, RouteTable, json_response

__all__ = ["callers_app"]

MAX_WAIT_S = 3600.0


class SessionAnswer(msgspec.Struct, frozen=True):
    """Answer to a request for a new session, whose first idempotency key is ``<session>~1``."""

    session: str
    max_tasks: int


class HealthAnswer(msgspec.Struct, frozen=True):
    """Answer to a load balancer's health check."""

    status: str


def callers_app(jobs, listen, *, health, metrics):
    """Return the WSGI application of the callers' listener.

    Parameters
    ----------
    jobs : JobService
        Service that runs the jobs.
    listen : ListenSettings
        Limits on the size and time of request bodies.
    health : callable
        Returns None, or the `BurdocklugError` that tells why the process accepts no jobs.
    metrics : callable
        Returns the metrics page as bytes and its content type.
    """
    app = RouteTable(max_body_bytes=listen.max_body_bytes, body_timeout_s=listen.body_timeout_s)

    @app.route("POST", "/v1/sessions")
    def open_session(_req):
        answer = SessionAnswer(jobs.open_session(), jobs.settings.max_tasks)
        return json_response(201, answer)

    @app.route("POST", "/v1/jobs")
    def submit(req):
        key = req.header("Idempotency-Key")
        if not key:
            raise BurdocklugError(
                ErrorKind.BAD_REQUEST, "the header is missing", path="header Idempotency-Key"
            )
        body = req.read_body()
        req.account.hold(decoded_size_bytes(body))
        return _response(jobs.submit(key, body, wait_s=_wait_s(req)))

    @app.route("GET", "/v1/jobs/{key}")
    def status(req):
        return _response(jobs.status(req.params["key"], wait_s=_wait_s(req) or 0.0))

    @app.route("DELETE", "/v1/jobs/{key}")
    def cancel(req):
        return _response(jobs.cancel(req.params["key"]))

    @app.route("GET", "/v1/health")
    def check_health(_req):
        error = health()
        if error is not None:
            raise error
        return json_response(200, HealthAnswer("serving"))

    @app.route("GET", "/metrics")
    def show_metrics(_req):
        body, content_type = metrics()
        return Response(200, body, content_type)

    return app


def _wait_s(req):
    return req.query_float("wait_s", None, maximum=MAX_WAIT_S)


def _response(answer):
    return Response(answer.status, answer.body, retry_after_s=answer.retry_after_s)
