"""Starts a whole deployment on loopback: platform stand-in, endpoint stand-ins, processes.

Used by the demo, the bench and the tests with real processes. Everything is addressed by number
and ended by the process ids that were started here.
"""

import json
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

import yaml

from standins.deployment import OPERATOR_TOKEN, SHARED_KEY, Deployment, Layout
from standins.launch import launch, wait_healthy
from standins.ports import HOST

__all__ = ["Deployment", "Fleet", "OPERATOR_TOKEN", "SHARED_KEY", "call_json"]

CONTROL_TIMEOUT_S = 5.0
UNAVAILABLE = 503
TICKET_PATIENCE_S = 10.0  # some tens of calls to the store, of which each may miss its time
TICKET_PAUSE_S = 0.2


def call_json(method, url, value=None, *, token=None):
    """Call a control address and return the decoded answer."""
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    if token is not None:
        request.add_header("Authorization", f"Bearer {token}")
    with urllib.request.urlopen(request, timeout=CONTROL_TIMEOUT_S) as response:
        return json.loads(response.read() or b"null")


class Fleet(Layout):
    """A running deployment.

    Parameters
    ----------
    deployment : Deployment
        What to start.
    """

    def __init__(self, deployment):
        super().__init__(deployment)
        self.directory = Path(tempfile.mkdtemp(prefix="burdocklug-"))
        self.children = {}
        self.settings = {}

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc):
        self.stop()

    def start(self):
        """Start the stand-ins, then every process."""
        self.start_store()
        for domain in self.endpoints:
            self.start_endpoints(domain)
        for name in self.names:
            if self.deployment.links:
                self.start_links(name)
            self._launch_process(name)
        for name in self.names:
            wait_healthy(self.children[name], self.operators(name))

    def start_store(self):
        """Start the platform stand-in."""
        self.children["store"] = launch("standins.store", "--listen", self.store, health=self.store)

    def start_endpoints(self, domain):
        """Start the endpoints of one failure domain in one stand-in process."""
        ports = self.endpoints[domain]
        self.children[f"endpoints-{domain}"] = launch(
            "standins.endpoint",
            "--listen",
            f"{self.endpoint_host(domain)}:{ports[0]}",
            "--count",
            str(len(ports)),
            "--slots",
            str(self.deployment.slots),
            health=f"{self.endpoint_host(domain)}:{ports[-1]}",
        )

    def start_links(self, name):
        """Start the two links of a process: towards its peer address, and to the platform."""
        _, _, peers, peer_link, store_link, control = self.ports[name]
        self.children[f"links-{name}"] = launch(
            "standins.link",
            *("--listen", f"{HOST}:{peer_link}", "--to", f"{HOST}:{peers}"),
            *("--listen", f"{HOST}:{store_link}", "--to", self.store),
            *("--control", f"{HOST}:{control}"),
            health=f"http://{HOST}:{control}/health",
        )

    def set_peer_link(self, name, mode, **more):
        """Set the mode of the link before a process's peer address."""
        self._set_link(name, 3, mode, more)

    def set_store_link(self, name, mode, **more):
        """Set the mode of the link between a process and the platform."""
        self._set_link(name, 4, mode, more)

    def _set_link(self, name, index, mode, more):
        ports = self.ports[name]
        body = {"mode": mode, "listen": f"{HOST}:{ports[index]}", **more}
        call_json("POST", f"http://{HOST}:{ports[5]}/mode", body)

    def set_hosts(self, live, leaving, **more):
        """Set the platform's list of hosts."""
        body = {"live": list(live), "leaving": list(leaving), **more}
        return call_json("POST", f"http://{self.store}/hosts", body)

    def set_store_faults(self, **faults):
        """Set faults of the platform stand-in; none clears them all."""
        if faults:
            return call_json("POST", f"http://{self.store}/faults", faults)
        return call_json("DELETE", f"http://{self.store}/faults")

    def start_process(self, name, **changes):
        """Start a process under `name`; `changes` replace whole sections of its settings."""
        child = self._launch_process(name, **changes)
        wait_healthy(child, self.operators(name))
        return child

    def _launch_process(self, name, **changes):
        path = self.directory / f"{name}.yaml"
        self.settings[name] = {**self.process_settings(name), **changes}
        path.write_text(yaml.safe_dump(self.settings[name]), encoding="utf-8")
        self.children[name] = launch(*self.program(name, path))
        return self.children[name]

    def program(self, name, path):
        """Return the module that runs the process of a name, and its arguments."""
        return "burdocklug.daemon", str(path)

    def state(self, name):
        """Return the state dump of a process."""
        return call_json("GET", f"http://{self.operators(name)}/v1/state", token=OPERATOR_TOKEN)

    def apply(self, ticket, *, through=None):
        """Apply a change ticket over the operators' interface and return the answer.

        A 503 says that the platform was not reached, or that the outcome is unknown; as operators
        are told to, it is answered by the same ticket again, for `TICKET_PATIENCE_S`.
        """
        url = f"http://{self.operators(through or self.names[0])}/v1/tickets"
        until_s = time.monotonic() + TICKET_PATIENCE_S
        while True:
            try:
                return call_json("POST", url, ticket, token=OPERATOR_TOKEN)
            except urllib.error.HTTPError as exc:
                if exc.code != UNAVAILABLE or time.monotonic() >= until_s:
                    raise
            time.sleep(TICKET_PAUSE_S)

    def records(self):
        """Return what each endpoint stand-in recorded, by address."""
        return {
            address: call_json("GET", f"http://{address}/record")
            for address in self.endpoint_addresses()
        }

    def starts(self):
        """Return every start that the endpoints recorded: task id, attempt id, time, running."""
        return [start for record in self.records().values() for start in record["starts"]]

    def set_faults(self, address, **faults):
        """Replace the faults of one endpoint stand-in."""
        return call_json("POST", f"http://{address}/faults", faults)

    def stop(self):
        """End every process that was started here, and only those."""
        for child in reversed(list(self.children.values())):
            child.kill()

    def running(self):
        """Return the names of children that have not ended."""
        return [name for name, child in self.children.items() if child.returncode is None]
