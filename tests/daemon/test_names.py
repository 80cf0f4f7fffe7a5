"""Quota shares of two processes under one name, and after a start without the platform."""

import dataclasses
import time

import urllib3
from testtools.matchers import Equals

from standins.ports import free_ports
from tests.daemon.fleets import FleetTestCase
from tests.daemon.test_quotas import QUOTAS

DEPLOYMENT = dataclasses.replace(
    QUOTAS,
    teams={"vat": 4},
    peers={"heartbeat_s": 0.2, "suspect_after_s": 0.8, "dead_after_s": 1.5},
    jobs={"longest_task_s": 1.0},
)
OBSERVED_S = 8.0  # base shares are withheld for less time after a start without the platform


class NameTest(FleetTestCase):
    deployment = DEPLOYMENT

    def start_twin(self, name, **changes):
        """Start a second process named `name` on other ports; return its key in the fleet."""
        key = f"{name}-twin"
        fleet = self.fleet
        fleet.ports[key] = free_ports(6)
        settings = fleet.process_settings(key)
        settings["process"] = {**fleet.process_settings(name)["process"], "fleet": fleet.names}
        settings["peers"]["seeds"] = fleet.process_settings("south-1")["peers"]["seeds"][:4]
        fleet.start_process(key, **{**settings, **changes})
        self.addCleanup(lambda: fleet.children.pop(key).kill())
        self.addCleanup(fleet.ports.pop, key)
        return key

    def health_status(self, name):
        """Return the status of a health check, None for a process that does not listen yet."""
        try:
            return self.http("GET", name, "/v1/health").status
        except urllib3.exceptions.HTTPError:
            return None

    def share(self, name):
        return self.fleet.state(name)["limits"].get("vat", {}).get("share", 0)

    def test_a_second_process_takes_no_share_and_reports_name_held(self):
        twin = self.start_twin("north-1")
        self.wait_for(lambda: self.health_status(twin) == 503)
        until = time.monotonic() + OBSERVED_S
        shares = set()
        while time.monotonic() < until:
            shares.add(self.share(twin))
            time.sleep(0.2)
        self.assertThat(shares, Equals({0}))
        answer = self.http("GET", twin, "/v1/health").json()
        self.assertThat(answer["error"]["kind"], Equals("name_held"))
        self.assertThat(self.share("north-1"), Equals(1))
        self.fleet.children["north-1"].kill()
        self.wait_for(lambda: self.share(twin) == 1)
        self.assertThat(self.http("GET", twin, "/v1/health").status, Equals(200))

    def test_the_share_of_a_process_that_never_reached_the_platform_is_withheld(self):
        old = self.fleet.children["south-2"]
        self.assertThat(old.stop(timeout_s=20.0), Equals(0))
        self.fleet.set_store_faults(down=True)
        self.addCleanup(self.fleet.set_store_faults)
        self.fleet.start_process("south-2")
        self.wait_for(lambda: self.share("south-2") == 1)  # once it is no longer withheld
        self.fleet.children["south-2"].kill()
        self.fleet.set_store_faults()
        self.fleet.start_process("south-2")
        started_s = time.monotonic()
        self.wait_for(lambda: self.share("south-2") == 1)
        self.assertTrue(time.monotonic() - started_s > 5.0)
