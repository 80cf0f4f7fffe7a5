"""No task runs twice at once: seeds of drawn cuts in which one did, by the cause."""

from testtools import TestCase
from testtools.matchers import Equals

from tests.pools.drawn_cuts import Mix, play_seed
from tests.scenarios import with_scenarios

CUTS = Mix()
LOSSES = Mix(loss_share=0.5)
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
