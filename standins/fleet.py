"""Starts a whole deployment on loopback: platform stand-in, endpoint stand-ins, processes.

Used by the demo, the bench and the tests with real processes. Everything is addressed by number
and ended by the process ids that were started here.
"""

import contextlib
import json
import os
import socket
import tempfile
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from standins.launch import launch

__all__ = ["Deployment", "Fleet", "free_ports"]

HOST = "127.0.0.1"
OPERATOR_TOKEN = "operator-token-for-stand-ins"
SHARED_KEY = "shared-key-for-stand-ins"
CONTROL_TIMEOUT_S = 5.0
PORTS = range(10000, 32000)  # under the range that the kernel gives to dialling sockets
PORT_STEP = 100


@dataclass(frozen=True)
class Deployment:
    """Shape of a deployment.

    Parameters
    ----------
    name : str
        Its name.
    service : str
        The one service it runs.
    weight : str
        The service's weight.
    processes : dict of str to int
        Number of processes in each failure domain.
    endpoints : int
        Number of endpoints in each failure domain.
    slots : int
        Slots of each endpoint.
    teams : dict of str to int
        Most running tasks of each team.
    jobs, peers : dict
        Settings of each process that differ from the defaults.
    links : bool
        Whether a link with faults stands before each process's peer address, and between each
        process and the platform.
    """

    name: str
    service: str
    weight: str
    processes: dict
    endpoints: int
    slots: int = 8
    teams: dict = field(default_factory=lambda: {"floor": 100})
    jobs: dict = field(default_factory=dict)
    peers: dict = field(default_factory=dict)
    links: bool = False
    max_queue: int = 5000
    task_timeout_s: float = 20.0


def free_ports(count):
    """Return `count` TCP ports that are free now, in one run of consecutive numbers."""
    bases = list(range(PORTS.start, PORTS.stop - count, PORT_STEP))
    first = os.getpid() * 7 % len(bases)  # fleets of other programs start elsewhere
    for base in bases[first:] + bases[:first]:
        with contextlib.ExitStack() as stack:
            try:
                for port in range(base, base + count):
                    sock = stack.enter_context(socket.socket())
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind((HOST, port))
            except OSError:
                continue
            return list(range(base, base + count))
    raise OSError(f"no {count} free ports in a row")


def call_json(method, url, value=None, *, token=None):
    """Call a control address and return the decoded answer."""
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    if token is not None:
        request.add_header("Authorization", f"Bearer {token}")
    with urllib.request.urlopen(request, timeout=CONTROL_TIMEOUT_S) as response:
        return json.loads(response.read() or b"null")


class Fleet:
    """A running deployment.

    Parameters
    ----------
    deployment : Deployment
        What to start.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.directory = Path(tempfile.mkdtemp(prefix="burdocklug-"))
        self.children = {}
        self.settings = {}
        domains = deployment.processes
        names = [f"{d}-{n}" for d in domains for n in range(1, domains[d] + 1)]
        total = 1 + len(domains) * deployment.endpoints + 6 * len(names)
        ports = iter(free_ports(total))
        self.store = f"{HOST}:{next(ports)}"
        self.endpoints = {d: [next(ports) for _ in range(deployment.endpoints)] for d in domains}
        self.ports = {name: [next(ports) for _ in range(6)] for name in names}
        self.names = names

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
            self.start_process(name)

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

    def endpoint_host(self, domain):
        """Return the IP number of the host that a failure domain's endpoints run on."""
        return f"127.0.1.{1 + list(self.endpoints).index(domain)}"

    def start_process(self, name, **changes):
        """Start a process under `name`; `changes` replace whole sections of its settings."""
        path = self.directory / f"{name}.yaml"
        self.settings[name] = {**self.process_settings(name), **changes}
        path.write_text(yaml.safe_dump(self.settings[name]), encoding="utf-8")
        self.children[name] = launch("burdocklug.daemon", str(path), health=self.operators(name))
        return self.children[name]

    def process_settings(self, name):
        """Return the settings of a process as plain data."""
        callers, operators, peers, peer_link, store_link, _ = self.ports[name]
        linked = self.deployment.links
        seed = 3 if linked else 2
        seeds = [f"{HOST}:{ports[seed]}" for other, ports in self.ports.items() if other != name]
        listen = {
            "callers": f"{HOST}:{callers}",
            "operators": f"{HOST}:{operators}",
            "peers": f"{HOST}:{peers}",
        }
        if linked:
            listen["advertised_peers"] = f"{HOST}:{peer_link}"
        return {
            "process": {
                "name": name,
                "failure_domain": name.rpartition("-")[0],
                "fleet": self.names,
            },
            "listen": listen,
            "peers": {"shared_key": SHARED_KEY, "seeds": seeds, **self.deployment.peers},
            "platform": {"addresses": [f"{HOST}:{store_link}" if linked else self.store]},
            "operator_token": OPERATOR_TOKEN,
            "jobs": self.deployment.jobs,
        }

    def callers(self, name):
        """Return the callers' address of a process."""
        return f"{HOST}:{self.ports[name][0]}"

    def operators(self, name):
        """Return the operators' address of a process."""
        return f"{HOST}:{self.ports[name][1]}"

    def all_callers(self):
        """Return the callers' addresses of all processes."""
        return [self.callers(name) for name in self.names]

    def state(self, name):
        """Return the state dump of a process."""
        return call_json("GET", f"http://{self.operators(name)}/v1/state", token=OPERATOR_TOKEN)

    def ticket(self, number, **changes):
        """Return a change ticket with the whole configuration of this deployment."""
        deployment = self.deployment
        endpoints = [
            self._endpoint(domain, index, port)
            for domain, ports in self.endpoints.items()
            for index, port in enumerate(ports, 1)
        ]
        objects = {
            f"service/{deployment.service}": {
                "weight": deployment.weight,
                "max_queue": deployment.max_queue,
                "max_tasks": 1700,
                "task_timeout_s": deployment.task_timeout_s,
            },
            f"endpoints/{deployment.service}": {"endpoints": endpoints},
        }
        for team, most in deployment.teams.items():
            objects[f"team/{team}"] = {"max_running": most, "weight": 1}
        return {"number": number, "operator": "demo", "objects": {**objects, **changes}}

    def _endpoint(self, domain, index, port):
        return {
            "name": f"{domain}-worker-{index}",
            "address": f"{self.endpoint_host(domain)}:{port}",
            "host": self.endpoint_host(domain),
            "failure_domain": domain,
            "rack": f"{domain}-rack-1",
            "slots": self.deployment.slots,
            "max_connections": 64,
            "accelerators": 1,
        }

    def apply(self, ticket, *, through=None):
        """Apply a change ticket over the operators' interface and return the answer."""
        address = self.operators(through or self.names[0])
        return call_json("POST", f"http://{address}/v1/tickets", ticket, token=OPERATOR_TOKEN)

    def endpoint_addresses(self):
        """Return the addresses of all endpoints."""
        return [
            f"{self.endpoint_host(domain)}:{port}"
            for domain, ports in self.endpoints.items()
            for port in ports
        ]

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
