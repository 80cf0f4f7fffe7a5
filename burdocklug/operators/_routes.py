"""Routes of the operators' listener."""

import msgspec

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.operators._guard import bearer_guard
from burdocklug.web import Response, RouteTable, json_response

__all__ = ["operators_app", "pool_operators_app"]

MAX_TICKET_BYTES = 1_000_000
METRICS_PATH = "/metrics"


class Accepted(msgspec.Struct, frozen=True):
    """Answer to a request that is accepted now and carried out later."""

    accepted: bool


def operators_app(process, listen):
    """Return the WSGI application of the operators' listener.

    Parameters
    ----------
    process : Process
        The process with its parts.
    listen : ListenSettings
        Timeout of request bodies.
    """
    app = RouteTable(
        max_body_bytes=MAX_TICKET_BYTES,
        body_timeout_s=listen.body_timeout_s,
        guard=bearer_guard(process.settings.operator_token),
    )

    @app.route("POST", "/v1/tickets")
    def apply_ticket(req):
        return json_response(200, process["tickets"].parse_and_apply(req.read_body()))

    @app.route("GET", "/v1/tickets/{number}")
    def show_ticket(req):
        return json_response(200, process["tickets"].reach(_parse_number(req.params["number"])))

    @app.route("GET", "/v1/configuration")
    def show_configuration(_req):
        return json_response(200, process["tickets"].show())

    add_process_routes(app, process)
    return app


def pool_operators_app(process, listen):
    """Return the WSGI application of the operators' listener in a process of a pool.

    Parameters
    ----------
    process : Process
        The process with its parts.
    listen : ListenSettings
        Timeout of request bodies.

    Notes
    -----
    Operators of a pool change the configuration in the store. Metrics are served without a token,
    since the installation's metrics collector has none.
    """
    check_token = bearer_guard(process.settings.operator_token)

    def guard(req):
        if req.environ["PATH_INFO"] != METRICS_PATH:
            check_token(req)

    app = RouteTable(
        max_body_bytes=MAX_TICKET_BYTES, body_timeout_s=listen.body_timeout_s, guard=guard
    )

    @app.route("GET", METRICS_PATH)
    def metrics(_req):
        from burdocklug.callers._metrics import render_metrics

        page, content_type = render_metrics(process)
        return Response(200, page, content_type)

    add_process_routes(app, process)
    return app


def add_process_routes(app, process):
    """Add the routes for the state dump and for draining to an application."""

    @app.route("GET", "/v1/state")
    def show_state(_req):
        return Response(200, msgspec.json.encode(state_dump(process), enc_hook=str))

    @app.route("POST", "/v1/drain")
    def drain(_req):
        process.request_stop()
        return json_response(202, Accepted(True))


def _parse_number(text):
    if not text.isdigit():
        raise BurdocklugError(ErrorKind.BAD_REQUEST, f"{text[:40]!r} is not a number", path="path")
    return int(text)


def state_dump(process):
    """Return the state of every part with a ``dump()`` method, by the part's name."""
    dump = {"process": process.settings.process.name, "draining": process.draining}
    for name, instance in process.parts.items():
        if hasattr(instance, "dump"):
            dump[name] = instance.dump()
    return dump
