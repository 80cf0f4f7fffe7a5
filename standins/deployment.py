"""Shape of a deployment on loopback: addresses, settings of its processes, its change ticket."""

from dataclasses import dataclass, field

from standins.ports import HOST, free_ports

__all__ = ["OPERATOR_TOKEN", "SHARED_KEY", "Deployment", "Layout"]

OPERATOR_TOKEN = "operator-token-for-stand-ins"
SHARED_KEY = "shared-key-for-stand-ins"
PORTS_PER_PROCESS = 6  # callers, operators, peers, peer link, store link, control of the links
MAX_TASKS = 1700
MAX_CONNECTIONS = 64


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


class Layout:
    """Addresses of every program of a deployment, and what follows from them as plain data.

    Parameters
    ----------
    deployment : Deployment
        Its shape.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        domains = deployment.processes
        self.names = [f"{d}-{n}" for d in domains for n in range(1, domains[d] + 1)]
        total = 1 + len(domains) * deployment.endpoints + PORTS_PER_PROCESS * len(self.names)
        ports = iter(free_ports(total))
        self.store = f"{HOST}:{next(ports)}"
        self.endpoints = {d: [next(ports) for _ in range(deployment.endpoints)] for d in domains}
        self.ports = {name: [next(ports) for _ in range(PORTS_PER_PROCESS)] for name in self.names}

    def endpoint_host(self, domain):
        """Return the IP number of the host that a failure domain's endpoints run on."""
        return f"127.0.1.{1 + list(self.endpoints).index(domain)}"

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
                "max_tasks": MAX_TASKS,
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
            "max_connections": MAX_CONNECTIONS,
            "accelerators": 1,
        }

    def endpoint_addresses(self):
        """Return the addresses of all endpoints."""
        return [
            f"{self.endpoint_host(domain)}:{port}"
            for domain, ports in self.endpoints.items()
            for port in ports
        ]
