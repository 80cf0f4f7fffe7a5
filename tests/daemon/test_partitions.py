"""A failure domain cut off from the platform, from the others, or from both.

Each row of the table in docs/OPERATIONS.md is one scenario here. Each process is the only one of
its failure domain, which has its own endpoints. A forwarder (link) that can cut the connection
stands in front of its peer address, and another one between it and the platform.
"""

import time
from dataclasses import replace

import eventlet
from testtools.matchers import Equals

from standins.fleet import Deployment
from tests.daemon.fleets import FleetTestCase
from tests.daemon.test_ownership import caller_key
from tests.scenarios import with_scenarios

CUT_OFF = Deployment(
    name="cut-off",
    service="press",
    weight="latency",
    processes={"north": 1, "south": 1},
    endpoints=2,
    teams={"vat": 64},
    links=True,
    peers={"heartbeat_s": 0.2, "suspect_after_s": 0.8, "dead_after_s": 1.5},
)
MANY_TASKS = 40  # more than the slots of one failure domain
CUT_S = 3.0  # wait after a cut; longer than it takes to declare a member dead
TICKET_S = 9.0  # timeout until a ticket has reached the awaited processes
LEAVING_S = 3.0  # from the listing of a host as leaving until no start may reach it


class PartitionTestCase(FleetTestCase):
    deployment = CUT_OFF

    def cut(self, *, peers, store):
        for name in ("north-1", "south-1"):
            self.fleet.set_peer_link(name, "cut" if peers else "forward")
        self.fleet.set_store_link("north-1", "cut" if store else "forward")

    def highest(self, name):
        return self.fleet.state(name)["tickets"]["highest"]


@with_scenarios
class CutOffTest(PartitionTestCase):
    scenarios = [
        ("from the platform", {"peers": False, "store": True}),
        ("from the other failure domain", {"peers": True, "store": False}),
        ("from both", {"peers": True, "store": True}),
    ]

    def cut_off(self):
        self.addCleanup(self.cut, peers=False, store=False)
        self.session = self.open_session("north-1")
        self.foreign = self.open_session("south-1")
        self.cut(peers=self.peers, store=self.store)
        time.sleep(CUT_S)

    def test_jobs_of_own_sessions_go_on(self):
        self.cut_off()
        for number in range(1, 4):
            key = f"{self.session}~{number}"
            self.assertThat(self.submit("north-1", key)["state"], Equals("complete"))
            self.assert_started_once(key)

    def test_new_sessions_go_on(self):
        self.cut_off()
        key = f"{self.open_session('north-1')}~1"
        self.assertThat(self.submit("north-1", key)["state"], Equals("complete"))

    def test_keys_of_an_owner_that_is_cut_off_are_never_reported_as_not_run(self):
        self.cut_off()
        key = f"{self.foreign}~1"
        refused = self.submit_for_error("north-1", key)
        self.assertThat(refused, Equals(("owner_lost", "unknown") if self.peers else None))
        self.submit("south-1", key)
        self.cut(peers=False, store=False)
        self.wait_for(lambda: self.submit("north-1", key)["state"] == "complete")
        self.assert_started_once(key)

    def test_caller_keys_need_the_platform(self):
        self.cut_off()
        key = caller_key(f"cut-{self.peers}-{self.store}")
        refused = self.submit_for_error("north-1", key)
        self.assertThat(refused, Equals(("claim_uncertain", "unknown") if self.store else None))
        self.submit("south-1", key)
        self.cut(peers=False, store=False)
        self.wait_for(lambda: self.submit("north-1", key)["state"] == "complete")
        self.assert_started_once(key)

    def test_tickets_arrive_over_any_remaining_link_and_never_revert(self):
        self.cut_off()
        before = self.highest("north-1")
        numbers = [before + 1, before + 2, before + 3]
        for number in numbers:
            self.fleet.apply(self.fleet.ticket(number), through="south-1")
        if self.peers and self.store:
            time.sleep(1.0)
            self.assertThat(self.highest("north-1"), Equals(before))
            self.cut(peers=False, store=False)
        self.wait_for(lambda: self.highest("north-1") == numbers[-1], timeout_s=TICKET_S)

    def test_every_process_still_runs_when_the_cut_ends(self):
        self.cut_off()
        self.cut(peers=False, store=False)
        self.wait_ready()
        codes = {self.fleet.children[name].returncode for name in self.fleet.names}
        self.assertThat(codes, Equals({None}))


class SharedAllocatorTest(PartitionTestCase):
    """With the weight `messages`, one process allocates the slots of both failure domains."""

    deployment = replace(CUT_OFF, name="shared-allocator", weight="messages")

    def test_large_jobs_go_on_in_both_failure_domains(self):
        self.addCleanup(self.cut, peers=False, store=False)
        keys = {name: f"{self.open_session(name)}~1" for name in self.fleet.names}
        self.cut(peers=True, store=True)
        time.sleep(CUT_S)
        for name, key in keys.items():
            answer = self.submit(name, key, tasks=MANY_TASKS)
            self.assertThat((name, answer["state"]), Equals((name, "complete")))
            self.assert_started_once(key, MANY_TASKS)


class CutOffShutdownTest(PartitionTestCase):
    """A graceful shutdown while no peer can be reached for a handover."""

    def test_running_jobs_end_and_nothing_is_started_later(self):
        session = self.open_session("north-1")
        self.addCleanup(self.cut, peers=False, store=False)
        self.cut(peers=True, store=True)
        time.sleep(CUT_S)
        answers = []
        running = eventlet.spawn(
            lambda: answers.append(self.submit("north-1", f"{session}~1", run_s=1.0))
        )
        time.sleep(0.4)
        code = self.fleet.children["north-1"].stop(timeout_s=30.0)
        running.wait()
        self.assertThat((code, answers[0]["state"]), Equals((0, "complete")))
        self.cut(peers=False, store=False)
        self.assertThat(
            self.submit_for_error("south-1", f"{session}~2"), Equals(("owner_lost", "unknown"))
        )
        self.assert_started_once(f"{session}~1")


class CutOffLeavingHostTest(PartitionTestCase):
    """A host is listed as leaving while a failure domain can't reach the platform."""

    def test_the_list_comes_from_a_peer(self):
        hosts = [self.fleet.endpoint_host(domain) for domain in self.fleet.endpoints]
        self.fleet.set_hosts(hosts, [])
        self.addCleanup(self.cut, peers=False, store=False)
        self.cut(peers=False, store=True)
        time.sleep(CUT_S)
        self.fleet.set_hosts(hosts[1:], hosts[:1])
        listed_s = time.time()
        session = self.open_session("north-1")
        for number in range(1, 9):
            answer = self.submit("north-1", f"{session}~{number}", run_s=0.5, tasks=8)
            self.assertThat(answer["state"], Equals("complete"))
        late = [
            start
            for address, record in self.fleet.records().items()
            if address.startswith(f"{hosts[0]}:")
            for start in record["starts"]
            if start[2] > listed_s + LEAVING_S
        ]
        self.assertTrue(time.time() > listed_s + LEAVING_S)
        self.assertThat(late, Equals([]))
        self.fleet.set_hosts(hosts, [])


class WithoutConfigurationTest(FleetTestCase):
    """A process that starts with neither platform nor peers refuses; with peers alone it serves."""

    deployment = CUT_OFF

    def restart_north(self, *, peers):
        self.fleet.set_store_link("north-1", "cut")
        self.fleet.set_peer_link("north-1", "forward" if peers else "cut")
        self.fleet.set_peer_link("south-1", "forward" if peers else "cut")
        self.addCleanup(self.fleet.set_store_link, "north-1", "forward")
        self.addCleanup(self.fleet.set_peer_link, "north-1", "forward")
        self.addCleanup(self.fleet.set_peer_link, "south-1", "forward")
        self.fleet.children["north-1"].kill()
        self.fleet.start_process("north-1")

    def test_with_neither_it_is_unhealthy_and_refuses(self):
        self.restart_north(peers=False)
        time.sleep(1.0)
        health = self.http("GET", "north-1", "/v1/health")
        self.assertThat(health.status, Equals(503))
        key = f"{self.open_session('north-1')}~1"
        self.assertThat(self.submit_for_error("north-1", key), Equals(("no_configuration", "no")))

    def test_with_peers_alone_it_serves(self):
        self.restart_north(peers=True)
        self.wait_for(lambda: self.http("GET", "north-1", "/v1/health").status == 200)
        key = f"{self.open_session('north-1')}~1"
        answer = self.submit("north-1", key, wait_s=40.0)
        self.assertThat(answer["state"], Equals("complete"))


class LeavingHostTest(FleetTestCase):
    """A leaving host gets no start later than 3 s after it is listed; running tasks finish."""

    def test_no_start_after_the_limit_and_no_running_task_is_cut(self):
        hosts = [self.fleet.endpoint_host(domain) for domain in self.fleet.endpoints]
        leaving = hosts[1]
        self.fleet.set_hosts(hosts, [])
        session = self.open_session("north-1")
        listed_s = None
        states = []
        for number in range(1, 13):
            key = f"{session}~{number}"
            states.append(self.submit("north-1", key, run_s=0.5, tasks=24)["state"])
            if number == 3:
                listed_s = time.time()
                self.fleet.set_hosts(hosts[:1], [leaving])
        self.assertThat(set(states), Equals({"complete"}))
        records = self.fleet.records()
        at_leaving = [
            start[2]
            for address, record in records.items()
            if address.startswith(f"{leaving}:")
            for start in record["starts"]
            if start[0].startswith(session)
        ]
        self.assertTrue(any(at <= listed_s for at in at_leaving))
        self.assertThat([at for at in at_leaving if at > listed_s + LEAVING_S], Equals([]))
        self.assertTrue(time.time() > listed_s + LEAVING_S)
        self.fleet.set_hosts(hosts, [])

    def test_an_older_list_does_not_bring_it_back(self):
        hosts = [self.fleet.endpoint_host(domain) for domain in self.fleet.endpoints]
        newest = self.fleet.set_hosts(hosts[:1], hosts[1:])["version"]

        def leaving():
            return [self.fleet.state(name)["hosts"]["leaving"] for name in self.fleet.names]

        self.wait_for(lambda: leaving() == [hosts[1:]] * len(self.fleet.names))
        self.fleet.set_hosts(hosts, [], version=newest - 1)
        time.sleep(2.5)
        self.assertThat(leaving(), Equals([hosts[1:]] * len(self.fleet.names)))
        self.fleet.set_hosts(hosts, [], version=newest + 1)
        self.wait_for(lambda: leaving() == [[]] * len(self.fleet.names))
