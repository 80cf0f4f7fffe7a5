"""Endpoints that start anew and cold in the middle of a load, in virtual time."""

import json

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._models import RunEndKind
from tests.pools.builders import spec, step
from tests.pools.test_partitions import QUEUE
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time

PROCESSES = {"north-1": "north", "south-1": "south", "east-1": "east"}
ENDPOINTS = {"e1": "north", "e2": "south"}
COLD_S = 6.0
RATE_PER_S = 4.0
HEARTBEAT_S = 1.5
TOLERATED_FACTOR = 1.5  # smallest bounds that operators state: factor on the rate, and starts
TOLERATED_STARTS = 5
RESTART_S = 3.0  # after the load began
LOAD_S = 12.0
JOB_PERIOD_S = 0.03


def write_entry(deployment, name, **changes):
    fields = json.loads(deployment.store.records[f"servers/{name}"].value)
    deployment.store.put(f"servers/{name}", json.dumps({**fields, **changes}).encode())


def configure_rate(deployment):
    value = json.loads(deployment.store.records["op/config"].value)
    service = {"name": "press-control", "cold_start_s": COLD_S, "cold_per_s": RATE_PER_S}
    value = {**value, "version": 2, "services": [service]}
    deployment.store.put("op/config", json.dumps(value).encode())


def restart_cold(deployment, name):
    """Restart an endpoint, which writes its remaining cold time at each heartbeat."""
    endpoint = deployment.endpoints[name]
    for run in list(endpoint.runs.values()):
        endpoint.end(run, RunEndKind.STOPPED)
    endpoint.restart()
    began_s = now_s()
    while now_s() < began_s + COLD_S + HEARTBEAT_S:
        remaining_ms = 1000 * max(0.0, began_s + COLD_S - now_s())
        write_entry(deployment, name, born=endpoint.started_ms, cold_remaining_ms=remaining_ms)
        eventlet.sleep(HEARTBEAT_S)


def play(*, kills_scheduler):
    """Play a load in which one endpoint restarts; return its start times, answers, overlaps."""
    deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=0.1)
    configure_rate(deployment)
    deployment.start()
    began_s = now_s()
    eventlet.spawn_after(RESTART_S, restart_cold, deployment, "e1")
    scheduler = deployment.scheduler().name
    other = next(name for name in PROCESSES if name != scheduler)
    if kills_scheduler:
        eventlet.spawn_after(RESTART_S + 2.0, deployment.kill, scheduler)
    answers = []
    for number in range(round(LOAD_S / JOB_PERIOD_S)):
        job = spec(f"j{number}", step(cpu=6000, estimate_s=0.1), rule=QUEUE)
        answers.append(deployment.submit(other, job, wait_s=3.0))
        eventlet.sleep(JOB_PERIOD_S)
    eventlet.sleep(4.0)
    starts = [row[2] - began_s - RESTART_S for row in deployment.history if row[4] == "e1"]
    return starts, answers, deployment.overlaps()


class ColdRestartTest(TestCase):
    def check(self, *, kills_scheduler):
        starts, answers, overlaps = run_in_virtual_time(
            lambda: play(kills_scheduler=kills_scheduler)
        )
        cold = sorted(start_s for start_s in starts if 0.0 <= start_s < COLD_S)
        self.assertTrue(len(cold) >= RATE_PER_S, cold)
        for first, since_s in enumerate(cold):
            for count, until_s in enumerate(cold[first:], 1):
                tolerated = TOLERATED_FACTOR * RATE_PER_S * (until_s - since_s) + TOLERATED_STARTS
                self.assertTrue(count < tolerated, (count, since_s, until_s))
        warm = [start_s for start_s in starts if COLD_S + HEARTBEAT_S <= start_s < 9.0]
        self.assertTrue(len(warm) > 2 * RATE_PER_S * (9.0 - COLD_S - HEARTBEAT_S), len(warm))
        self.assertThat(overlaps, Equals([]))
        return answers

    def test_an_endpoint_that_restarts_in_a_load_gets_few_starts_until_it_is_warm(self):
        answers = self.check(kills_scheduler=False)
        self.assertThat([answer for answer in answers if not answer], Equals([]))

    def test_a_scheduler_that_takes_over_meanwhile_keeps_to_the_rate(self):
        self.check(kills_scheduler=True)
