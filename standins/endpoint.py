"""Stand-in endpoint over HTTP: runs tasks as their payload says and records what it did.

Run as ``python -m standins.endpoint --listen IP:PORT [--count N] [--slots 8]
[--max-connections 64] [--control IP:PORT]``. With ``--count N`` one process serves N
endpoints on consecutive ports, each with its own state.

The payload of a task is ``{"run_s": 0.2, "value": any, "fail": bool}``, all optional. The
answer's value is ``{"value": payload value, "digest": answer_digest(task_id)}``.

Besides the endpoint protocol each port and the control address serve ``GET /record``
(``?since=N`` skips N starts), ``POST /record/reset``, ``GET /records`` (every port of the
process), ``GET /faults`` and ``POST /faults`` (the whole new set of faults, see
`standins.endpoint_state.Faults`; ``{}`` clears them). ``?port=P`` names another endpoint of
the same process, which is how one that is down is reached. Times are wall-clock seconds.
"""

import argparse
import dataclasses
import json
import os
import signal
import sys
import urllib.parse
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402
import eventlet.event  # noqa: E402

from standins.endpoint_http import BACKLOG, Endpoint, reply, serve  # noqa: E402
from standins.endpoint_state import Faults  # noqa: E402


class Process:
    """The endpoints of one process and their control calls."""

    def __init__(self, host, port, *, count=1, slots=8, max_connections=64):
        self.endpoints = [
            Endpoint(
                host,
                port + i if port else 0,
                slots=slots,
                max_connections=max_connections,
                process=self,
            )
            for i in range(count)
        ]

    def open(self):
        """Open every endpoint."""
        for endpoint in self.endpoints:
            endpoint.open()

    def control_app(self, environ, start_response):
        """Serve the control address."""
        return self.control(environ, start_response, default=self.endpoints[0])

    def control(self, environ, start_response, *, default):
        """Answer a control call for one endpoint."""
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        endpoint = self._find(query.get("port"), default)
        body = environ["wsgi.input"].read()
        match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
            case "GET", "/record":
                answer = endpoint.state.record(int(query.get("since", 0)))
            case "GET", "/records":
                answer = {e.port: e.state.record() for e in self.endpoints}
            case "POST", "/record/reset":
                endpoint.state.reset()
                answer = {}
            case "GET", "/faults":
                answer = dataclasses.asdict(endpoint.state.faults)
            case "POST", "/faults":
                return self._set_faults(endpoint, body, start_response)
            case _:
                return reply(start_response, 404, {"error": environ["PATH_INFO"]})
        return reply(start_response, 200, answer)

    def _find(self, port, default):
        for endpoint in self.endpoints:
            if port is not None and endpoint.port == int(port):
                return endpoint
        return default

    def _set_faults(self, endpoint, body, start_response):
        try:
            faults = Faults(**json.loads(body or b"{}"))
        except TypeError as exc:
            return reply(start_response, 400, {"error": str(exc)})
        endpoint.state.faults = faults
        if faults.down and endpoint.listener is not None:
            eventlet.spawn_after(0, endpoint.close)
        elif not faults.down and endpoint.listener is None:
            endpoint.open()
        return reply(start_response, 200, dataclasses.asdict(faults))


def parse_address(text):
    """Return host and port of ``IP:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def main(argv=None):
    """Run the stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="standins.endpoint")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--max-connections", type=int, default=64)
    parser.add_argument("--control")
    args = parser.parse_args(argv)
    host, port = parse_address(args.listen)
    process = Process(
        host, port, count=args.count, slots=args.slots, max_connections=args.max_connections
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: os._exit(0))  # the loop may be asleep in poll
    process.open()
    if args.control:
        serve(eventlet.listen(parse_address(args.control), backlog=BACKLOG), process.control_app)
    ports = " ".join(str(endpoint.port) for endpoint in process.endpoints)
    print(f"listening {ports}", flush=True)
    eventlet.event.Event().wait()


if __name__ == "__main__":
    sys.exit(main())
