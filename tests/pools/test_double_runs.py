"""No task runs twice at once: seeds of drawn cuts in which one did, by the cause."""

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools._models import JobOutcome
from tests.pools.builders import spec, step
from tests.pools.drawn_cuts import QUEUE, Mix, play_seed
from tests.pools.virtual_deployment import VirtualDeployment, run_in_virtual_time
from tests.scenarios import with_scenarios

CUTS = Mix()
LOSSES = Mix(loss_share=0.5)
RELISTINGS = Mix(
    ways=("both", "in", "out"),
    loss_share=0.3,
    relist_share=1.0,
    max_delay_s=0.015,
    stop_s=0.03,
    cpu=8000,
)
ONE_WAY_LOSSES = Mix(ways=("both", "in", "out"), loss_share=0.5)


def seeds(mix, *numbers):
    """Return a scenario for each seed of a mix."""
    return [(f"seed {number}", {"seed": number, "mix": mix}) for number in numbers]


@with_scenarios
class SameEndpointTest(TestCase):
    """Guards against a start beside a run that another scheduler began at the same endpoint.

    The order that the first scheduler still had there was dropped, and the run was not adopted
    (review/12).
    """

    scenarios = seeds(CUTS, 253, 323, 324, 699)

    def test_no_task_runs_twice_at_once_and_each_job_is_answered(self):
        self.assertThat(play_seed(self.seed, self.mix), Equals(([], [])))


@with_scenarios
class LostSchedulerTest(TestCase):
    """Guards against starts before the leases of a cut-off and then killed scheduler have ended.

    Its successor waited for less than the lost one may have renewed (review/12).
    """

    scenarios = seeds(LOSSES, 9, 99, 175) + seeds(ONE_WAY_LOSSES, 37, 65, 126)

    def test_no_task_runs_twice_at_once_and_each_job_is_answered(self):
        self.assertThat(play_seed(self.seed, self.mix), Equals(([], [])))


@with_scenarios
class DrawnRelistingTest(TestCase):
    """Guards against tasks that the agent of an earlier listing puts back."""

    scenarios = seeds(RELISTINGS, 0, 6, 7)

    def test_no_task_runs_twice_at_once_and_each_job_is_answered(self):
        self.assertThat(play_seed(self.seed, self.mix), Equals(([], [])))


class RelistedEndpointTest(TestCase):
    def test_a_run_of_an_endpoint_that_is_listed_again_goes_on_alone(self):
        """Guards against a start beside a run that the endpoint's next agent has adopted.

        The agent of the first listing put the task back once its own leases had expired.
        """

        def scenario():
            endpoints = {"w1": "north", "w2": "north"}
            deployment = VirtualDeployment({"n1": "north"}, endpoints, run_s=2.0).start()
            job = spec("j1", step(cpu=1000, estimate_s=2.0), rule=QUEUE)
            answer = deployment.submit("n1", job, wait_s=8.0)
            eventlet.sleep(0.3)
            name = deployment.history[0][4]
            deployment.store.delete_worker(name)
            eventlet.sleep(0.4)
            deployment.store.put_worker(name, "north")
            eventlet.sleep(4.0)
            return answer, len(deployment.history)

        self.assertThat(run_in_virtual_time(scenario), Equals(([JobOutcome.COMPLETED], 1)))
