"""JSON over HTTP for the stand-ins: a small router on eventlet's WSGI server."""

import argparse
import json
import socket

import eventlet
import eventlet.wsgi

__all__ = ["DROP", "RawAnswer", "make_app", "parse_address", "run_server", "serve_json"]

MAX_CONNECTIONS = 10_000
DROP = object()  # a handler returns it to close the connection with no answer


class RawAnswer:
    """An answer whose body is sent as it is, with status 200.

    Parameters
    ----------
    body : bytes
        The body to send.
    """

    def __init__(self, body):
        self.body = body


def parse_address(text):
    """Return host and port of ``IP:port``.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def make_app(handle):
    """Return a WSGI application around a handler of JSON requests.

    Parameters
    ----------
    handle : callable
        Called as ``handle(method, path, body)`` with the decoded body, or None where there is
        none. Returns a pair of status and JSON value, a `RawAnswer`, or `DROP`.

    Returns
    -------
    callable
        The application.
    """

    def app(environ, start_response):
        try:
            raw = environ["wsgi.input"].read()
            body = json.loads(raw) if raw else None
        except ValueError as exc:
            return _answer(start_response, 400, {"error": "bad_request", "detail": str(exc)})
        result = handle(environ["REQUEST_METHOD"], environ["PATH_INFO"], body)
        if result is DROP:
            return _drop(environ, start_response)
        if isinstance(result, RawAnswer):
            return _send(start_response, 200, result.body)
        return _answer(start_response, *result)

    return app


def _answer(start_response, status, value):
    return _send(start_response, status, json.dumps(value).encode())


def _send(start_response, status, body):
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(f"{status} -", headers)
    return [body]


def _drop(environ, start_response):
    sock = environ["eventlet.input"].get_socket()
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # the client was faster
    return _send(start_response, 500, b"")


def serve_json(sock, handle):
    """Serve a handler on a listening socket until the greenlet is killed."""
    eventlet.wsgi.server(
        sock,
        make_app(handle),
        custom_pool=eventlet.GreenPool(MAX_CONNECTIONS),
        log_output=False,
        debug=False,
    )


def run_server(handle, *, prog, argv=None):
    """Run a stand-in program with one option, ``--listen IP:port``, until a signal ends it.

    Parameters
    ----------
    handle : callable
        Handler as for `make_app`.
    prog : str
        Name of the program in its usage text.
    argv : list of str, optional
        Arguments in place of those of the process.
    """
    parser = argparse.ArgumentParser(prog=prog)
    parser.add_argument("--listen", type=parse_address, required=True, metavar="IP:PORT")
    args = parser.parse_args(argv)
    serve_json(eventlet.listen(args.listen, backlog=1024), handle)
