from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import check_settings

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
