"""Probes of endpoints with and without a live holder, in deployments in virtual time."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from burdocklug.pools.agents import HolderState, probe_holder
from burdocklug.pools.agents._holder_probe import BUSY_HOLDER_WAIT_S, IDLE_HOLDER_WAIT_S
from tests.pools.builders import spec, step
from tests.pools.test_partitions import ENDPOINTS, PROCESSES, QUEUE
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time

PROBER = "east-2"
ANSWERS_S = 0.3  # for the answers of the probe's requests


class HolderProbeTest(TestCase):
    def probe(self, *, load_s=0.0, run_s=0.3, prepare=None, wait_s=0.0, endpoint="south-w"):
        """Return the state found, the time it took, and the deployment.

        Parameters
        ----------
        load_s : float
            For how long jobs are submitted before the probe, and after it as well.
        run_s : float
            Run time of their tasks.
        prepare : callable, optional
            Called with the deployment before the probe.
        wait_s : float
            Time from that to the probe.
        """

        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=run_s).start(for_s=4.0)
            if load_s:
                eventlet.spawn(self.load, deployment)
                eventlet.sleep(load_s)
            if prepare:
                prepare(deployment)
            eventlet.sleep(wait_s)
            pool = deployment.processes[PROBER].pool
            entry, began_s = pool.directory.entries[endpoint], now_s()
            state = probe_holder(entry, pool.leader._protocol, now=now_s, holder_number=60)
            took_s = now_s() - began_s
            eventlet.sleep(3.0)
            return state, took_s, deployment

        return run_in_virtual_time(scenario)

    def load(self, deployment):
        for number in range(200):
            if deployment.processes["east-1"].is_alive:
                job = spec(f"j{number}", step(6, cpu=1000, estimate_s=0.3), rule=QUEUE)
                deployment.submit("east-1", job, wait_s=6.0)
            eventlet.sleep(0.05)

    def lose_all_but_prober(self, deployment):
        for name in PROCESSES:
            if name != PROBER:
                deployment.lose_power(name)

    def test_a_live_holder_of_runs_takes_the_endpoint_back_before_any_lease_lapses(self):
        state, took_s, deployment = self.probe(load_s=2.0)
        self.assertThat(state, Equals(HolderState.HELD))
        self.assertThat(took_s, LessThan(BUSY_HOLDER_WAIT_S))
        leader = deployment.scheduler()
        self.assertThat(leader.pool.leader.scheduler.counts["ends_lapsed"], Equals(0))
        self.assertThat(leader.pool.election.claim.term, Equals(1))

    def test_a_live_holder_that_is_idle_takes_it_back_too(self):
        state, took_s, _deployment = self.probe()
        self.assertThat(state, Equals(HolderState.HELD))
        self.assertThat(took_s, LessThan(IDLE_HOLDER_WAIT_S))

    def test_without_a_holder_it_is_free_after_the_wait(self):
        state, took_s, _deployment = self.probe(
            load_s=2.0, prepare=self.lose_all_but_prober, wait_s=0.2
        )
        self.assertThat(state, Equals(HolderState.FREE))
        self.assertThat(took_s, LessThan(BUSY_HOLDER_WAIT_S + ANSWERS_S))

    def test_a_lease_that_lapsed_shows_at_once_that_it_is_free(self):
        state, took_s, _deployment = self.probe(
            load_s=2.0, run_s=3.0, prepare=self.lose_all_but_prober, wait_s=1.3
        )
        self.assertThat(state, Equals(HolderState.FREE))
        self.assertThat(took_s, LessThan(ANSWERS_S))

    def test_an_endpoint_that_no_scheduler_ever_took_over_is_free_at_once(self):
        def restart(deployment):
            self.lose_all_but_prober(deployment)
            deployment.endpoints["south-w"].restart()

        state, took_s, _deployment = self.probe(prepare=restart, wait_s=0.5)
        self.assertThat(state, Equals(HolderState.FREE))
        self.assertThat(took_s, LessThan(ANSWERS_S))

    def test_an_endpoint_that_does_not_answer_shows_nothing(self):
        def cut(deployment):
            deployment.links.cut("cut", {PROBER}, {"south-w"})

        state, _took_s, _deployment = self.probe(prepare=cut)
        self.assertThat(state, Equals(HolderState.UNREACHED))
