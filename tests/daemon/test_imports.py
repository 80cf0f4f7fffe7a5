import re
import tempfile
import urllib.error
import urllib.request
from pathlib import Path

import yaml
from testtools import TestCase
from testtools.matchers import Contains, Equals

from standins.launch import launch
from standins.ports import free_address

TIMEOUT_S = 10.0
IMPORTED = re.compile(r"^import '([^']+)' #", re.MULTILINE)  # successful imports only
UNUSED = (
    "aiohttp",
    "aioprometheus",
    "attr",
    "burdocklug.cli",
    "burdocklug.client",
    "cyclopts",
    "dns",
    "hypothesis",
    "matplotlib",
    "numpy",
    "orjson",
    "pygments",
    "pytest",
    "rich",
    "starlette",
    "testtools",
)


def ask(address, path):
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=TIMEOUT_S) as response:
            return response.status
    except urllib.error.HTTPError as exc:
        return exc.code


class ImportsTest(TestCase):
    def imported(self, *paths):
        """Return the modules of a daemon that was asked for paths, the first after its start."""
        callers, operators, peers = (free_address() for _ in range(3))
        settings = {
            "process": {"name": "north-1", "failure_domain": "north"},
            "listen": {"callers": callers, "operators": operators, "peers": peers},
            "peers": {"shared_key": "shared-key-for-tests"},
            "platform": {"addresses": [free_address()]},
            "operator_token": "operator-token-for-tests",
        }
        path = Path(tempfile.mkdtemp(prefix="burdocklug-")) / "north-1.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        env = {"PYTHONVERBOSE": "1"}
        with launch("burdocklug.daemon", path, health=operators, env=env) as daemon:
            statuses = [ask(callers, path) for path in paths]
            modules = set(IMPORTED.findall(daemon.stderr_text()))
        return statuses, modules

    def test_a_serving_daemon_has_no_module_that_it_does_not_use(self):
        statuses, modules = self.imported("/v1/health")
        self.assertThat(statuses, Equals([503]))
        self.assertThat(modules, Contains("burdocklug.operators._routes"))
        self.assertThat(modules, Contains("structlog"))
        unused = {name for name in modules for top in UNUSED if f"{name}.".startswith(f"{top}.")}
        self.assertThat(sorted(unused), Equals([]))

    def test_the_first_metrics_request_imports_their_library(self):
        statuses, modules = self.imported("/metrics")
        self.assertThat(statuses, Equals([200]))
        self.assertThat(modules, Contains("aioprometheus"))
