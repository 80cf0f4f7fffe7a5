import tempfile
from pathlib import Path

import yaml
from testtools import ExpectedException, TestCase
from testtools.matchers import Equals

from burdocklug.kernel import SettingsError, check_settings, load_settings

GOOD = {
    "process": {"name": "freistadt-1", "failure_domain": "freistadt"},
    "listen": {
        "callers": "127.0.0.1:8001",
        "operators": "127.0.0.1:8002",
        "peers": "127.0.0.1:8003",
    },
    "peers": {"shared_key": "0123456789abcdef"},
    "platform": {"addresses": ["127.0.0.1:9000"]},
    "operator_token": "0123456789abcdef",
}


class CheckSettingsTest(TestCase):
    def test_good_settings_have_no_fault(self):
        self.assertThat(list(check_settings(GOOD)), Equals([]))

    def test_every_fault_is_listed_with_its_path(self):
        bad = dict(GOOD, process={"name": "X"}, platform={"addresses": ["localhost"]}, more=1)
        bad["operator_token"] = "short"
        bad["listen"] = dict(GOOD["listen"], callers="127.0.0.1:8001\n")
        faults = list(check_settings(bad))
        paths = [fault.partition(":")[0] for fault in faults]
        self.assertThat(
            paths,
            Equals(
                [
                    "$.process.name",
                    "$.process.failure_domain",
                    "$.listen.callers",
                    "$.platform.addresses[0]",
                    "$.operator_token",
                    "$.more",
                ]
            ),
        )


class MemoryTest(TestCase):
    """The eighth of the memory that is for requests holds one of the largest size at least."""

    def load(self, **process):
        path = Path(tempfile.mkdtemp(prefix="burdocklug-")) / "p.yaml"
        settings = dict(GOOD, process={**GOOD["process"], **process})
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return load_settings(path)

    def test_too_little_is_refused_and_the_least_is_named(self):
        with ExpectedException(SettingsError, r"\$.process.memory_mb: 61 is .* needs 62"):
            self.load(memory_mb=61)

    def test_the_least_and_the_default_are_taken(self):
        self.load(memory_mb=62)
        self.load()

    def test_fewer_descriptors_than_a_process_needs_are_refused(self):
        with ExpectedException(SettingsError, r"\$.process.max_fds"):
            self.load(max_fds=399)

    def test_connections_fit_into_half_of_the_memory_and_of_the_descriptors(self):
        counts = [
            self.load(**limits).process.max_caller_connections
            for limits in ({}, {"memory_mb": 160}, {"max_fds": 400}, {"memory_mb": 10_000})
        ]
        self.assertThat(counts, Equals([1024, 640, 200, 2048]))
