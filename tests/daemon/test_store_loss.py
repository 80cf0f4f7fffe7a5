"""The platform's store loses accepted writes: it is replaced by an empty or an older one."""

import time

from testtools.matchers import Equals

from burdocklug.tickets import CONFIGURATION_KEY
from standins.fleet import OPERATOR_TOKEN, Deployment, call_json
from tests.daemon.fleets import FleetTestCase
from tests.scenarios import with_scenarios

DEPLOYMENT = Deployment(
    name="store-loss",
    service="press",
    weight="latency",
    processes={"north": 1, "south": 1},
    endpoints=1,
    teams={"vat": 64},
    # Shares of killed processes are withheld for the longest task plus 5 s at most.
    jobs={"longest_task_s": 1.0},
)
TICKET_S = 9.0  # timeout until a ticket has reached the awaited processes
OBSERVED_S = 4.0  # several polls and heartbeats


@with_scenarios
class StoreLossTest(FleetTestCase):
    deployment = DEPLOYMENT
    scenarios = [
        ("an empty store", {"replace": "replace_by_an_empty_one"}),
        ("an older copy", {"replace": "write_an_older_value_back"}),
    ]

    def setUp(self):
        super().setUp()
        self.number = max(self.numbers())

    def numbers(self):
        return [self.fleet.state(name)["tickets"]["highest"] for name in self.fleet.names]

    def limits(self):
        """Return ticket number and limit of the team in force at each process."""
        found = []
        for name in self.fleet.names:
            url = f"http://{self.fleet.operators(name)}/v1/configuration"
            objects = call_json("GET", url, token=OPERATOR_TOKEN)["objects"]
            found.append((objects["team/vat"]["number"], objects["team/vat"]["state"]))
        return found

    def ticket(self, number, most):
        return self.fleet.ticket(number, **{"team/vat": {"max_running": most, "weight": 1}})

    def store(self, call, **body):
        body |= {"key": CONFIGURATION_KEY, "purpose": "test"}
        return call_json("POST", f"http://{self.fleet.store}/v1/{call}", body)["entry"]

    def replace_by_an_empty_one(self, _older):
        self.fleet.children["store"].kill()
        self.fleet.start_store()

    def write_an_older_value_back(self, older):
        newest = self.store("get")["version"]
        self.store("put", value=older["value"], expected_version=newest)

    def lose_a_ticket(self):
        """Put a ticket in force at every process, then remove it from the store alone."""
        self.fleet.apply(self.ticket(self.number + 1, 50))
        older = self.store("get")
        self.number += 2
        self.fleet.apply(self.ticket(self.number, 40))
        self.wait_for(lambda: self.numbers() == [self.number] * 2, timeout_s=TICKET_S)
        getattr(self, self.replace)(older)

    def test_the_configuration_stays_in_force_and_jobs_complete(self):
        self.lose_a_ticket()
        expected = [(self.number, {"max_running": 40, "weight": 1})] * 2
        until_s = time.monotonic() + OBSERVED_S
        while time.monotonic() < until_s:
            self.assertThat(self.limits(), Equals(expected))
            time.sleep(0.2)
        key = f"{self.open_session('south-1')}~1"
        self.assertThat(self.submit("south-1", key)["state"], Equals("complete"))
        self.assert_started_once(key)

    def test_a_ticket_lost_by_the_store_is_already_applied(self):
        self.lose_a_ticket()
        again = self.fleet.apply(self.ticket(self.number, 40), through="south-1")
        self.assertThat(again["outcome"], Equals("already_applied"))
        self.assertThat(self.limits()[0][1]["max_running"], Equals(40))

    def test_the_next_ticket_restores_the_store(self):
        self.lose_a_ticket()
        lost = self.number
        self.number += 1
        objects = {"team/dye": {"max_running": 8, "weight": 1}}
        body = {"number": self.number, "operator": "test", "objects": objects}
        self.fleet.apply(body, through="south-1")
        self.wait_for(lambda: self.numbers() == [self.number] * 2, timeout_s=TICKET_S)
        for name in self.fleet.names:
            self.fleet.children[name].kill()
        self.fleet.start_process("north-1")  # has nothing but the content of the store
        self.fleet.start_process("south-1")
        self.wait_ready()
        expected = [(lost, {"max_running": 40, "weight": 1})] * 2
        self.assertThat(self.limits(), Equals(expected))
