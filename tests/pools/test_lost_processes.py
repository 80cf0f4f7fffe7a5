"""Most processes lose power at once, the scheduler among them: the others go on in virtual time."""

import random

import eventlet
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from burdocklug.kernel import Ran
from tests.pools.builders import spec, step
from tests.pools.test_partitions import QUEUE
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time
from tests.scenarios import with_scenarios

DOMAINS = ("north", "south", "east")
# The users' wish for the time from the loss of the scheduler to the next start.
WANTED_S = 0.7
# Until then the scheduler counts as lost (0.8 s and a heartbeat), the others were asked (0.3 s),
# endpoints have shown that nobody holds them (0.9 s), and the resubmissions were awaited (0.1 s).
FOUND_S = 2.3
FIRST_LIST_S = 1.4  # a new scheduler waits so long for a store that does not answer
CALL_PERIOD_S = 0.04
WAIT_S = 6.0


def start_deployment(*, processes, endpoints, run_s=0.25):
    """Return a deployment with processes and endpoints spread over three failure domains."""
    names = {f"p{n}": DOMAINS[n % 3] for n in range(processes)}
    workers = {f"w{n}": DOMAINS[n % 3] for n in range(endpoints)}
    return VirtualDeployment(names, workers, run_s=run_s).start()


def choose_lost(deployment, rng, share):
    """Return the scheduler and random others, which make the given share of the processes."""
    leader = deployment.scheduler().name
    others = sorted(set(deployment.processes).difference({leader}))
    return [leader, *rng.sample(others, round(share * len(deployment.processes)) - 1)]


def set_store(deployment, store):
    """Let the store answer 90 times more slowly, or not at all."""
    if store == "slow":
        deployment.store.answer_s *= 90
    elif store == "away":
        everyone = set(deployment.domains)
        deployment.links.cut("store", everyone, {"store"})


def play_loss(*, share, store, is_silent=True, seed=1, processes=10, endpoints=9, for_s=8.0):
    """Lose processes while jobs arrive.

    Returns
    -------
    tuple
        Seconds until the next start, double runs, jobs without an answer from a process that is
        left, and the largest number of changes of an endpoint's holder after the loss.
    """
    rng = random.Random(seed)

    def scenario():
        deployment = start_deployment(processes=processes, endpoints=endpoints)
        answers = {}
        lost = choose_lost(deployment, rng, share)
        left = sorted(set(deployment.processes).difference(lost))
        lost_s = None
        for number in range(round((2.0 + for_s) / CALL_PERIOD_S)):
            if lost_s is None and number * CALL_PERIOD_S >= 2.0 + rng.uniform(0.0, 0.2):
                set_store(deployment, store)
                for name in lost:
                    deployment.lose_power(name) if is_silent else deployment.kill(name)
                lost_s = now_s()
                holders = {name: len(rows) for name, rows in deployment.holders.items()}
            job = spec(f"j{number}", step(2, cpu=1000, estimate_s=0.25), rule=QUEUE)
            name = rng.choice(left)
            answers[job.job_id] = deployment.submit(name, job, wait_s=WAIT_S)
            eventlet.sleep(CALL_PERIOD_S)
        eventlet.sleep(WAIT_S + 1.0)
        starts = [row[2] for row in deployment.history if row[2] > lost_s + 0.05]
        taken = [len(rows) - holders[name] for name, rows in deployment.holders.items()]
        unanswered = [job for job, got in answers.items() if len(got) != 1]
        started = {row[0].partition(".")[0] for row in deployment.history}
        false = [
            job
            for job, got in answers.items()
            if job in started and got and getattr(got[0], "ran", None) is Ran.NO
        ]
        return (
            round(min(starts, default=float("inf")) - lost_s, 3),
            deployment.overlaps(),
            unanswered + false,
            max(taken),
        )

    return run_in_virtual_time(scenario, seed=seed)


@with_scenarios
class MostProcessesLostTest(TestCase):
    """Guards against survivors that wait until the records of the lost ones have lapsed.

    They refused all jobs for 4 s and more, with their endpoints idle.
    """

    scenarios = [
        (
            f"{share} lost, store {store}, seed {seed}",
            {"share": share, "store": store, "seed": seed},
        )
        for share in (0.6, 0.8)
        for store in ("sound", "slow", "away")
        for seed in (1, 2, 3)
    ]

    def test_the_others_start_tasks_again(self):
        bound_s = FOUND_S + (0.0 if self.store == "sound" else FIRST_LIST_S)
        restarted_s, overlaps, untrue, taken = play_loss(
            share=self.share, store=self.store, seed=self.seed
        )
        self.assertThat(overlaps, Equals([]))
        self.assertThat(untrue, Equals([]))
        self.assertThat(restarted_s, LessThan(bound_s))
        self.assertThat(taken, Equals(1))


class RefusedTest(TestCase):
    """Processes that refuse connections have ended for certain, so nothing is waited for."""

    def test_the_others_start_tasks_again_at_once(self):
        restarted_s, overlaps, untrue, _taken = play_loss(share=0.6, store="sound", is_silent=False)
        self.assertThat((overlaps, untrue), Equals(([], [])))
        self.assertThat(restarted_s, LessThan(WANTED_S))


class WishTest(TestCase):
    def test_the_others_start_tasks_again_as_soon_as_the_users_wish(self):
        restarted_s = play_loss(share=0.6, store="sound")[0]
        self.assertThat(restarted_s, LessThan(WANTED_S))
