"""A configuration that grows by thousands of routes is in force in time behind slow links."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.pools._configuration_messages import ConfigurationRequest
from tests.pools.test_partitions import ENDPOINTS, PROCESSES
from tests.pools.virtual_deployment import VirtualDeployment, run_in_virtual_time
from tests.scenarios import with_scenarios

CONFIGURATION_BOUND_S = 3.0  # `config_apply_ms` of the deployments with slow links
SLOW_BYTES_PER_S = 1.19e6  # 9.5 Mbit/s
FAST_BYTES_PER_S = 12.5e6  # 100 Mbit/s
ROUTES_MORE = 1400
STORM_GAP_S = 0.33
STORM_CHANGES = 12


@with_scenarios
class GrowingConfigurationTest(TestCase):
    """Guards against processes that stay at an old version once a transfer outlasts its limit."""

    scenarios = [
        ("scheduler on a fast link", {"leader_bytes_per_s": FAST_BYTES_PER_S}),
        ("scheduler on a slow link", {"leader_bytes_per_s": SLOW_BYTES_PER_S}),
    ]

    def start(self):
        deployment = VirtualDeployment(PROCESSES, ENDPOINTS).start(for_s=8.0)
        self.leader = deployment.scheduler().name
        for name in PROCESSES:
            rate = self.leader_bytes_per_s if name == self.leader else SLOW_BYTES_PER_S
            deployment.links.bytes_per_s[name] = rate
        return deployment

    def change(self, deployment, version, routes):
        """Write a version with a number of routes, the last of which is named after it."""
        prefixes = [f"/route-{number:05d}/" for number in range(routes)]
        deployment.store.put_configuration(
            version, prefixes=["/press/", *prefixes, f"/version-{version:03d}/"]
        )

    def late(self, deployment, version):
        """Return the processes without a version, with the one they have."""
        versions = {
            name: process.pool.directory.configuration.version
            for name, process in deployment.processes.items()
        }
        return {name: known for name, known in versions.items() if known < version}

    def grow(self, deployment):
        """Grow three times, 3.5 s apart; return the last version and who lacked one in time."""
        late = []
        for version, times in ((2, 1), (3, 2), (4, 3)):
            self.change(deployment, version, times * ROUTES_MORE)
            eventlet.sleep(CONFIGURATION_BOUND_S)
            late.append(self.late(deployment, version))
            eventlet.sleep(0.5)
        return 4, late

    def test_each_version_is_in_force_within_the_bound(self):
        def scenario():
            deployment = self.start()
            grown, late = self.grow(deployment)
            for version in (grown + 1, grown + 2):
                self.change(deployment, version, 3 * ROUTES_MORE)
                eventlet.sleep(CONFIGURATION_BOUND_S)
                late.append(self.late(deployment, version))
                eventlet.sleep(2.0)
            return late, deployment.scheduler().name

        late, scheduler = run_in_virtual_time(scenario)
        self.assertThat(late, Equals([{}] * 5))
        self.assertThat(scheduler, Equals(self.leader))

    def test_changes_in_quick_succession_are_in_force_within_the_bound(self):
        def scenario():
            deployment = self.start()
            first, _late = self.grow(deployment)
            newest, late = first, []
            for version in range(first + 1, first + 1 + STORM_CHANGES):
                newest = version
                self.change(deployment, version, 3 * ROUTES_MORE)
                eventlet.spawn_after(
                    CONFIGURATION_BOUND_S, lambda v=version: late.append(self.late(deployment, v))
                )
                eventlet.sleep(STORM_GAP_S)
            eventlet.sleep(CONFIGURATION_BOUND_S + 0.1)
            return late, self.late(deployment, newest)

        late, at_the_end = run_in_virtual_time(scenario)
        self.assertThat(late, Equals([{}] * STORM_CHANGES))
        self.assertThat(at_the_end, Equals({}))


class StuckFetchTest(TestCase):
    """Guards against a process that knows of a newer version and waits for one peer to send it."""

    def test_a_process_to_which_the_scheduler_does_not_get_through_asks_the_store(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS).start(for_s=8.0)
            leader = deployment.scheduler()
            handlers = leader.network._handlers
            handlers[ConfigurationRequest] = lambda _sender, _message: eventlet.sleep(60.0)
            deployment.store.put_configuration(2)
            eventlet.sleep(CONFIGURATION_BOUND_S)
            processes = deployment.processes.values()
            return {p.name: p.pool.directory.configuration.version for p in processes}

        self.assertThat(run_in_virtual_time(scenario), Equals(dict.fromkeys(PROCESSES, 2)))


class KnownLagTest(TestCase):
    """Guards against answers by an old configuration in a process that knows of a newer one."""

    def test_nothing_is_said_of_a_queue_when_a_version_has_been_missing_for_long(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS).start(for_s=8.0)
            process = next(
                p for p in deployment.processes.values() if p.pool.leader.scheduler is None
            )
            answers = [process.pool.pending("r/press/")]
            process.pool.directory.note_version(9, source="test", now_s=process.timers.now())
            for pause_s in (0.8, 0.4):
                eventlet.sleep(pause_s)
                try:
                    answers.append(process.pool.pending("r/press/"))
                except BurdocklugError as exc:
                    answers.append(exc.kind)
            deployment.store.put_configuration(9)
            eventlet.sleep(CONFIGURATION_BOUND_S)
            return [*answers, process.pool.pending("r/press/")]

        answers = run_in_virtual_time(scenario)
        self.assertThat(answers, Equals([0, 0, ErrorKind.NO_CONFIGURATION, 0]))


class WithoutSchedulerTest(TestCase):
    """Guards against a process that neither the store nor a scheduler tells of a new version."""

    def test_a_process_that_the_store_turns_away_learns_a_version_from_any_peer(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS).start(for_s=8.0)
            for process in deployment.processes.values():
                process.pool.election.draining = True  # so that none claims the role
            scheduler = deployment.scheduler()
            turned_away = [name for name in PROCESSES if name != scheduler.name][0]
            deployment.links.cut("store", {turned_away}, {"store"})
            scheduler.pool.election.step_down("test")
            eventlet.sleep(1.0)
            deployment.store.put_configuration(2)
            eventlet.sleep(CONFIGURATION_BOUND_S)
            process = deployment.processes[turned_away]
            return process.pool.directory.configuration.version

        self.assertThat(run_in_virtual_time(scenario), Equals(2))
