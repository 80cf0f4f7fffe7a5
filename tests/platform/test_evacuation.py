"""Evacuated failure domains in whole deployments: nothing starts there once the bound is over."""

import eventlet
from testtools import TestCase
from testtools.matchers import Contains, Equals, GreaterThan, LessThan, MatchesListwise

from burdocklug.kernel import ErrorKind, Ran
from burdocklug.pools._models import JobOutcome
from tests.pools.builders import spec, step
from tests.pools.test_partitions import ENDPOINTS, PROCESSES, QUEUE
from tests.pools.virtual_deployment import VirtualDeployment, now_s, run_in_virtual_time
from tests.scenarios import with_scenarios

EVACUATION_BOUND_S = 5.0
CONTACT_S = 4.0  # after the end of a disturbance of the store, the bound holds from then on
SETTLED_S = 6.0
LOADED_S = 1.0  # after which there is work on all endpoints
DOMAIN, WORKER = "south", "south-w"


class Load:
    """Submits short jobs at all processes that run, until it is stopped."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._thread = eventlet.spawn(self._run)

    def _run(self):
        number = 0
        while True:
            alive = [n for n, process in self._deployment.processes.items() if process.is_alive]
            job = spec(f"load{number}", step(3, cpu=2200, estimate_s=0.3), rule=QUEUE)
            self._deployment.submit(alive[number % len(alive)], job, wait_s=3.0)
            number += 1
            eventlet.sleep(0.05)

    def stop(self):
        self._thread.kill()


def start(**options):
    options.setdefault("run_s", 0.3)
    deployment = VirtualDeployment(PROCESSES, ENDPOINTS, **options).start(for_s=SETTLED_S)
    load = Load(deployment)
    eventlet.sleep(LOADED_S)
    return deployment, load


def starts(deployment, *, worker=WORKER, after_s, before_s=float("inf")):
    """Return the starts on an endpoint in a span of time: their tasks and seconds since then."""
    return [
        (row[0], round(row[2] - after_s, 2))
        for row in deployment.history
        if row[4] == worker and after_s < row[2] < before_s
    ]


def cut_from_store(deployment, names, *, for_s):
    deployment.links.cut("store", names, {"store"})
    eventlet.spawn_after(for_s, deployment.links.heal, "store")


@with_scenarios
class PhaseTest(TestCase):
    """The request comes at any time between two reads and two heartbeats."""

    scenarios = [(f"{n * 0.07:.2f} s", {"phase_s": n * 0.07}) for n in range(10)]

    def test_nothing_starts_there_from_the_bound_until_it_is_taken_back(self):
        def scenario():
            deployment, load = start()
            eventlet.sleep(self.phase_s)
            before = len(starts(deployment, after_s=0.0))
            deployment.store.evacuate(DOMAIN)
            acked_s = now_s()
            eventlet.sleep(EVACUATION_BOUND_S + 4.0)
            load.stop()
            return before, starts(deployment, after_s=acked_s + EVACUATION_BOUND_S)

        before, late = run_in_virtual_time(scenario)
        self.assertThat(before, GreaterThan(0))
        self.assertThat(late, Equals([]))


@with_scenarios
class OutageTest(TestCase):
    """The store answers nobody after it has acknowledged the request."""

    scenarios = [
        (
            f"{outage_s} s, scheduler {what}",
            {"outage_s": outage_s, "what": what},
        )
        for outage_s in (0.3, 0.7, 1.0, 1.3, 1.7, 2.0, 2.6, 3.3, 4.0, 4.7, 5.3, 6.0)
        for what in ("stays", "is lost", "hands over")
    ]

    def test_nothing_starts_there_once_the_bound_is_over(self):
        def scenario():
            deployment, load = start()
            deployment.store.evacuate(DOMAIN)
            acked_s = now_s()
            cut_from_store(deployment, PROCESSES, for_s=self.outage_s)
            eventlet.sleep(self.outage_s / 2)
            if self.what == "is lost":
                deployment.kill(deployment.scheduler().name)
            elif self.what == "hands over":
                eventlet.spawn(deployment.scheduler().pool.election.hand_over)
            eventlet.sleep(self.outage_s / 2)
            bound_s = max(acked_s + EVACUATION_BOUND_S, now_s() + CONTACT_S)
            eventlet.sleep(bound_s - now_s() + 4.0)
            load.stop()
            elsewhere = starts(deployment, worker="north-w", after_s=bound_s)
            return starts(deployment, after_s=bound_s), len(elsewhere)

        late, elsewhere = run_in_virtual_time(scenario)
        self.assertThat(late, Equals([]))
        self.assertThat(elsewhere, GreaterThan(0))


@with_scenarios
class LostSchedulerTest(TestCase):
    """The scheduler is lost around the request; its successor's watches may be silent."""

    scenarios = [
        (
            f"{kill_s} s, answers after {answer_s} s, {'silent' if is_silent else 'sound'}",
            {"kill_s": kill_s, "answer_s": answer_s, "is_silent": is_silent},
        )
        for kill_s in (0.0, 0.1, 0.3, 1.0, 4.5)
        for answer_s, is_silent in ((0.004, False), (0.3, False), (0.7, False), (0.004, True))
    ]

    def test_nothing_starts_there_once_the_bound_is_over(self):
        def scenario():
            deployment, load = start()
            if self.is_silent:
                deployment.store.silence_connections(idle_s=1.0)
            deployment.store.evacuate(DOMAIN)
            acked_s = now_s()
            deployment.store.answer_s = self.answer_s
            eventlet.sleep(self.kill_s)
            deployment.kill(deployment.scheduler().name)
            eventlet.sleep(EVACUATION_BOUND_S + 4.0 - self.kill_s)
            load.stop()
            return starts(deployment, after_s=acked_s + EVACUATION_BOUND_S)

        self.assertThat(run_in_virtual_time(scenario), Equals([]))

    def test_a_successor_starts_nothing_from_an_old_view(self):
        """With reads that take up to 0.7 s, it waits for the answer to one of its own."""

        def scenario():
            deployment, load = start()
            leader = deployment.scheduler().name
            deployment.kill(leader)
            deployment.store.evacuate(DOMAIN)
            deployment.store.answer_s = self.answer_s
            eventlet.sleep(EVACUATION_BOUND_S)
            load.stop()
            began_s = deployment.scheduler().pool.leader._began_s
            return starts(deployment, after_s=began_s)

        self.assertThat(run_in_virtual_time(scenario), Equals([]))


@with_scenarios
class RefusedProcessesTest(TestCase):
    """The store serves the operator and some processes, not the scheduler."""

    scenarios = [(f"{n * 0.11:.2f} s", {"phase_s": n * 0.11}) for n in range(5)]

    def play(self, cut):
        def scenario():
            deployment, load = start()
            eventlet.sleep(self.phase_s)
            leader = deployment.scheduler().name
            names = {leader} if cut == "scheduler" else set(PROCESSES) - {"east-2"}
            cut_from_store(deployment, names, for_s=60.0)
            eventlet.sleep(0.5)
            deployment.store.evacuate(DOMAIN)
            bound_s = now_s() + EVACUATION_BOUND_S
            eventlet.sleep(EVACUATION_BOUND_S + 3.0)
            late = starts(deployment, after_s=bound_s)
            deployment.store.take_back(DOMAIN)
            eventlet.sleep(EVACUATION_BOUND_S)
            load.stop()
            return late, len(starts(deployment, after_s=now_s() - 2.0))

        return run_in_virtual_time(scenario)

    def test_a_scheduler_that_the_store_turns_away_learns_it_from_its_followers(self):
        late, again = self.play("scheduler")
        self.assertThat(late, Equals([]))
        self.assertThat(again, GreaterThan(0))

    def test_one_process_that_reaches_the_store_is_enough(self):
        late, again = self.play("all but one")
        self.assertThat(late, Equals([]))
        self.assertThat(again, GreaterThan(0))


@with_scenarios
class ChangingRequestTest(TestCase):
    """Requests and removals in quick succession, with lost history and stale answers."""

    scenarios = [
        (
            f"{pause_s} s apart, history {'lost' if is_lost else 'kept'}",
            {"pause_s": pause_s, "is_lost": is_lost},
        )
        for pause_s in (0.0, 0.05, 0.3, 0.6, 0.9)
        for is_lost in (False, True)
    ]

    def play(self, *changes, check):
        def scenario():
            deployment, load = start()
            for change in changes:
                getattr(deployment.store, change)(DOMAIN)
                if self.is_lost:
                    deployment.store.drop_history()
                eventlet.sleep(self.pause_s)
            eventlet.sleep(EVACUATION_BOUND_S)
            checked_s = now_s()
            eventlet.sleep(3.0)
            load.stop()
            known = {
                p.name: sorted(p.pool.directory.evacuations) for p in deployment.processes.values()
            }
            return check(deployment, checked_s), known

        return run_in_virtual_time(scenario)

    def test_removed_and_requested_again(self):
        late, known = self.play(
            *("evacuate", "take_back", "evacuate"),
            check=lambda deployment, checked_s: starts(deployment, after_s=checked_s),
        )
        self.assertThat(late, Equals([]))
        self.assertThat(known, Equals(dict.fromkeys(PROCESSES, [DOMAIN])))

    def test_requested_and_removed(self):
        served, known = self.play(
            *("evacuate", "take_back", "evacuate", "take_back"),
            check=lambda deployment, checked_s: len(starts(deployment, after_s=checked_s)),
        )
        self.assertThat(served, GreaterThan(0))
        self.assertThat(known, Equals(dict.fromkeys(PROCESSES, [])))


@with_scenarios
class StaleAnswerTest(TestCase):
    """Answers that are older than what is known, as changes, or in full after lost history."""

    scenarios = [("changes", {"is_full": False}), ("in full", {"is_full": True})]

    def play(self, first, second):
        def scenario():
            deployment, load = start()
            for change in first:
                getattr(deployment.store, change)(DOMAIN)
                eventlet.sleep(2.0)
            deployment.store.show_present_state()
            shown = deployment.store.shown
            deployment.store.shown = None
            getattr(deployment.store, second)(DOMAIN)
            eventlet.sleep(2.0)
            if self.is_full:
                deployment.store.drop_history()
            deployment.store.shown = shown
            stale_s = now_s()
            eventlet.sleep(EVACUATION_BOUND_S)
            during = len(starts(deployment, after_s=stale_s + 0.5))
            deployment.store.shown = None
            eventlet.sleep(EVACUATION_BOUND_S)
            load.stop()
            return during, len(starts(deployment, after_s=now_s() - 2.0))

        return run_in_virtual_time(scenario)

    def test_a_request_that_stands_stays_in_force(self):
        during, afterwards = self.play((), "evacuate")
        self.assertThat((during, afterwards), Equals((0, 0)))

    def test_a_removed_request_does_not_come_back(self):
        during, afterwards = self.play(("evacuate",), "take_back")
        self.assertThat(during, GreaterThan(0))
        self.assertThat(afterwards, GreaterThan(0))


@with_scenarios
class OddValueTest(TestCase):
    """Another program, or a slip of the operator's, wrote what can't be read."""

    scenarios = [
        ("nested", {"value": b'{"a":' * 100_000 + b"1" + b"}" * 100_000}),
        ("a list", {"value": b"[1]"}),
        ("empty", {"value": b""}),
        ("not text", {"value": b"\xff\x00"}),
    ]

    def test_the_key_evacuates_all_the_same_and_other_keys_are_followed(self):
        def scenario():
            deployment, load = start()
            for key in ("op/evacuate/", "op/wave/1", "op/evacuate", "op/"):
                deployment.store.put(key, self.value)
            deployment.store.evacuate(DOMAIN, value=self.value)
            eventlet.sleep(0.5)
            deployment.store.put_configuration(2)
            acked_s = now_s()
            eventlet.sleep(EVACUATION_BOUND_S + 2.0)
            load.stop()
            late = starts(deployment, after_s=acked_s + EVACUATION_BOUND_S)
            directory = deployment.scheduler().pool.directory
            return late, directory.configuration.version, list(directory.evacuations)

        self.assertThat(run_in_virtual_time(scenario), Equals(([], 2, [DOMAIN])))


class RunningWorkTest(TestCase):
    def test_what_runs_there_ends_by_itself(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=4.0).start(for_s=SETTLED_S)
            jobs = [spec(f"j{n}", step(4, cpu=8000, estimate_s=4.0), rule=QUEUE) for n in range(2)]
            answers = [deployment.submit("north-1", job, wait_s=20.0) for job in jobs]
            eventlet.sleep(1.0)
            deployment.store.evacuate(DOMAIN)
            eventlet.sleep(12.0)
            runs = [row[3] - row[2] for row in deployment.history if row[4] == WORKER]
            return answers, len(runs), min(runs)

        answers, runs, shortest_s = run_in_virtual_time(scenario)
        self.assertThat(answers, Equals([[JobOutcome.COMPLETED]] * 2))
        self.assertThat(runs, GreaterThan(0))
        self.assertThat(shortest_s, GreaterThan(3.9))

    def test_all_failure_domains_evacuated_and_one_taken_back(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=0.3).start(for_s=SETTLED_S)
            for domain in set(ENDPOINTS.values()):
                deployment.store.evacuate(domain)
            eventlet.sleep(EVACUATION_BOUND_S)
            job = spec("j1", step(cpu=1000, estimate_s=0.3), rule=QUEUE)
            refused = deployment.submit("north-1", job, wait_s=4.0)
            eventlet.sleep(0.3)
            answered = list(refused)
            deployment.store.take_back(DOMAIN)
            eventlet.sleep(EVACUATION_BOUND_S)
            job = spec("j2", step(cpu=1000, estimate_s=0.3), rule=QUEUE)
            served = deployment.submit("north-1", job, wait_s=4.0)
            eventlet.sleep(3.0)
            return answered, served, {row[0].partition(".")[0] for row in deployment.history}

        refused, served, started = run_in_virtual_time(scenario)
        self.assertThat(
            [(exc.kind, exc.ran) for exc in refused], Equals([(ErrorKind.NO_ENDPOINT, Ran.NO)])
        )
        self.assertThat(served, Equals([JobOutcome.COMPLETED]))
        self.assertThat(started, Equals({"j2"}))


@with_scenarios
class UnplaceableJobTest(TestCase):
    """Only an evacuated endpoint could hold the job."""

    scenarios = [
        ("comes after the request", {"submit_s": EVACUATION_BOUND_S}),
        ("waits when it comes", {"submit_s": -0.5}),
    ]

    def test_it_is_refused_at_once_as_not_run(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=30.0)
            deployment.store.put_worker(WORKER, DOMAIN, labels=["special"])
            deployment.start(for_s=SETTLED_S)
            step_ = step(2, cpu=16000, estimate_s=30.0, required_label="special")
            filler = spec("filler", step(cpu=16000, required_label="special"), rule=QUEUE)
            deployment.submit("north-1", filler, wait_s=60.0)
            eventlet.sleep(1.0)
            if self.submit_s > 0:
                deployment.store.evacuate(DOMAIN)
            eventlet.sleep(abs(self.submit_s))
            answers = deployment.submit("north-1", spec("j1", step_, rule=QUEUE), wait_s=300.0)
            if self.submit_s < 0:
                eventlet.sleep(abs(self.submit_s))
                deployment.store.evacuate(DOMAIN)
                eventlet.sleep(EVACUATION_BOUND_S)
            else:
                eventlet.sleep(0.3)
            started = {row[0].partition(".")[0] for row in deployment.history}
            return [(a.kind, a.ran, a.message) for a in answers], started

        answers, started = run_in_virtual_time(scenario)
        self.assertThat(
            answers,
            MatchesListwise(
                [
                    MatchesListwise(
                        [
                            Equals(ErrorKind.NO_ENDPOINT),
                            Equals(Ran.NO),
                            Contains("only an evacuated endpoint"),
                        ]
                    )
                ]
            ),
        )
        self.assertThat(started, Equals({"filler"}))


class CutOffDomainTest(TestCase):
    """A failure domain that is cut off and evacuated serves on while it can't know."""

    def test_it_stops_once_it_is_told(self):
        def scenario():
            deployment, load = start()
            deployment.cut_off(DOMAIN, for_s=8.0)
            eventlet.sleep(1.0)
            deployment.store.evacuate(DOMAIN)
            eventlet.sleep(7.0)
            bound_s = now_s() + EVACUATION_BOUND_S
            eventlet.sleep(EVACUATION_BOUND_S + 3.0)
            load.stop()
            during = starts(deployment, after_s=bound_s - 9.0, before_s=bound_s - 5.0)
            return len(during), starts(deployment, after_s=bound_s)

        during, late = run_in_virtual_time(scenario)
        self.assertThat(during, GreaterThan(0))
        self.assertThat(late, Equals([]))


@with_scenarios
class CutOffCallersTest(TestCase):
    """The cut ends at any time between two reads and two notices of the schedulers' claims."""

    scenarios = [(f"{n * 0.3:.2f} s", {"phase_s": n * 0.3}) for n in range(3)]

    def test_callers_there_wait_for_a_scheduler_that_serves_other_domains(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS, run_s=0.3).start(for_s=SETTLED_S)
            eventlet.sleep(self.phase_s)
            deployment.cut_off(DOMAIN, for_s=4.0)
            eventlet.sleep(2.0)
            deployment.store.evacuate(DOMAIN)
            eventlet.sleep(1.5)
            answers = []
            for number in range(40):
                job = spec(f"j{number}", step(cpu=1000, estimate_s=0.3), rule=QUEUE)
                answers.append(deployment.submit("south-1", job, wait_s=6.0))
                eventlet.sleep(0.05)
            eventlet.sleep(8.0)
            return answers

        answers = run_in_virtual_time(scenario)
        self.assertThat(answers, Equals([[JobOutcome.COMPLETED]] * 40))


class TakenBackTest(TestCase):
    def test_work_returns_and_the_endpoints_count_as_cold_for_a_while(self):
        def scenario():
            deployment, load = start()
            deployment.store.evacuate(DOMAIN)
            eventlet.sleep(EVACUATION_BOUND_S)
            deployment.store.take_back(DOMAIN)
            taken_back_s = now_s()
            eventlet.sleep(1.0)
            endpoints = deployment.scheduler().pool.leader.scheduler.endpoints
            cold_s = {name: e.cold_until_s - now_s() for name, e in endpoints.items()}
            eventlet.sleep(EVACUATION_BOUND_S)
            load.stop()
            return cold_s, len(starts(deployment, after_s=taken_back_s))

        cold_s, served = run_in_virtual_time(scenario)
        self.assertThat(cold_s[WORKER], GreaterThan(0.0))
        self.assertThat(cold_s["north-w"], LessThan(0.0))
        self.assertThat(served, GreaterThan(0))

    def test_gauge_and_dump_name_what_is_evacuated(self):
        def scenario():
            deployment = VirtualDeployment(PROCESSES, ENDPOINTS).start(for_s=SETTLED_S)
            deployment.store.evacuate(DOMAIN)
            eventlet.sleep(EVACUATION_BOUND_S)
            pool = deployment.scheduler().pool
            dump = pool.dump()
            return (
                {p.pool.counts()["evacuated_domains"] for p in deployment.processes.values()},
                list(dump["directory"]["evacuations"]),
                [row["id"] for row in dump["scheduler"]["endpoints"] if row["evacuated"]],
            )

        self.assertThat(run_in_virtual_time(scenario), Equals(({1}, [DOMAIN], [WORKER])))

    def test_without_evacuations_nothing_is_asked_of_peers(self):
        def scenario():
            deployment, load = start()
            asked = []
            for process in deployment.processes.values():
                process.pool.election.on_newer_version = asked.append
            eventlet.sleep(3.0)
            load.stop()
            return asked

        self.assertThat(run_in_virtual_time(scenario), Equals([]))
