"""Whole processes of a pool in virtual time, with partitions, silent connections and callers.

The event loop's clock jumps from one timer to the next, so that a minute of a deployment takes a
second or two and is the same in every run.
"""

import random
from types import SimpleNamespace

import eventlet
from eventlet import hubs, patcher
from eventlet.event import Event
from eventlet.hubs.hub import BaseHub

from burdocklug.kernel import BurdocklugError, TimerService
from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.platform._part import CataloguePart
from burdocklug.pools._models import RunEndKind
from burdocklug.pools._part import PoolPart
from burdocklug.pools.agents._orders import EndpointOrders, OrderUnanswered, order_protocols
from burdocklug.pools.agents._tokens import TOKEN_HOLDERS
from tests.platform.virtual_store import VirtualRecords, VirtualStore
from tests.pools.fake_endpoint import FakeEndpoint
from tests.pools.virtual_links import Links, message_bytes, now_s

__all__ = ["VirtualDeployment", "now_s", "run_in_virtual_time"]

START_S = 1000.0
TRIP_S = 0.0015  # one way between two processes
TICK_S = 0.01  # resolution at which endpoints notice ends of runs and leases
LATENESS_S = 1e-6  # timers fire slightly late
IDLE_LIMIT_S = 3600.0  # nothing is due any more
MAX_JOB_BYTES = 64 * 1024 * 1024  # of a scheduler


class VirtualHub(BaseHub):
    """Event loop whose clock advances to the next timer without a wait."""

    def __init__(self, clock=None):
        self.now_s = START_S
        super().__init__(lambda: self.now_s)

    def wait(self, seconds=None):
        if seconds is not None:
            if seconds > IDLE_LIMIT_S:
                raise RuntimeError("nothing is left to do in virtual time")
            self.now_s += seconds + LATENESS_S

    @staticmethod
    def is_available():
        return True

    def default_sleep(self):
        return 2 * IDLE_LIMIT_S


def run_in_virtual_time(scenario, *, seed=1):
    """Run a function on an event loop of its own, in a thread, and return its result."""
    outcome = []

    def run():
        state = random.getstate()
        random.seed(seed)
        hubs.use_hub(VirtualHub)
        try:
            outcome.append((scenario(), None))
        except BaseException as exc:  # raised again in the calling thread
            outcome.append((None, exc))
        finally:
            random.setstate(state)

    thread = patcher.original("threading").Thread(target=run)
    thread.start()
    thread.join()
    result, exc = outcome[0]
    if exc is not None:
        raise exc
    return result


class Clock:
    """The virtual time in the form that `FakeEndpoint` expects."""

    def __getitem__(self, _index):
        return now_s()


class VirtualEndpoint(FakeEndpoint):
    """Endpoint that records when each run began and ended; `step_run_s` is by step.

    A stop takes `stop_s` seconds, in which the run goes on and is listed as active.
    """

    step_run_s = {}
    stop_s = 0.0

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._stopping = []  # runs that are being stopped, and when that is done

    def run_time_s(self, task):
        return self.step_run_s.get(int(task.split(".")[2]), self.run_s)

    def advance(self):
        super().advance()
        due = [run for run, until_s in self._stopping if now_s() >= until_s]
        self._stopping = [row for row in self._stopping if row[0] not in due]
        for run in due:
            if self.runs.get(run.task) is run:
                self.end(run, RunEndKind.STOPPED)

    def stop(self, entry, *, task, attempt, token, timeout_s):
        run = self.runs.get(task)
        if not self.stop_s or run is None or run.attempt > attempt:
            super().stop(entry, task=task, attempt=attempt, token=token, timeout_s=timeout_s)
            return
        self._enter("stop", token)
        self.highest_attempts[task] = max(attempt, self.highest_attempts.get(task, 0))
        self._stopping.append((run, now_s() + self.stop_s))

    def _carry_out(self, task, attempt, lease_ms):
        is_new = task not in self.runs
        super()._carry_out(task, attempt, lease_ms)
        if is_new:
            self.history.append([task, attempt, now_s(), None, self.name])

    def end(self, run, kind):
        super().end(run, kind)
        end_s = self.lease_ms / 1000 if kind is RunEndKind.LAPSED else now_s()
        for row in self.history:
            if row[0] == run.task and row[1] == run.attempt and row[3] is None:
                row[3] = end_s


@order_protocols.register("virtual")
class VirtualOrders(EndpointOrders):
    """Orders of one process to all endpoints."""

    def __init__(self, *, now):
        self._deployment = self._process = None

    def connect(self, deployment, process):
        self._deployment, self._process = deployment, process

    def _reach(self, entry, timeout_s):
        endpoint = self._deployment.endpoints[entry.endpoint_id]
        links = self._deployment.links
        if not links.is_open(self._process.name, endpoint.name):
            eventlet.sleep(timeout_s)
            raise OrderUnanswered("cut")
        eventlet.sleep(TRIP_S + self._deployment.draw_delay_s())
        return endpoint

    def start(self, entry, *, timeout_s, **order):
        endpoint = self._reach(entry, timeout_s)
        clock_ms = endpoint.start(entry, timeout_s=timeout_s, **order)
        self._answer(endpoint, timeout_s)
        return clock_ms

    def stop(self, entry, *, timeout_s, **order):
        endpoint = self._reach(entry, timeout_s)
        endpoint.stop(entry, timeout_s=timeout_s, **order)
        self._answer(endpoint, timeout_s)

    def renew(self, entry, *, wait_s, timeout_s, acknowledged, **order):
        endpoint = self._reach(entry, timeout_s)
        until_s = now_s() + wait_s
        options = {"acknowledged": acknowledged, "wait_s": wait_s, "timeout_s": timeout_s}
        report = endpoint.renew(entry, **order, **options)
        self._deployment.note_token(endpoint.name, order["token"])
        while now_s() < until_s and not any(end.number > acknowledged for end in report.ended):
            eventlet.sleep(TICK_S)
            report = endpoint.report()
        self._answer(endpoint, timeout_s)
        return report

    def _answer(self, endpoint, timeout_s):
        """Wait until an answer has arrived."""
        if not self._deployment.links.is_open(endpoint.name, self._process.name):
            eventlet.sleep(timeout_s)
            raise OrderUnanswered("cut")
        eventlet.sleep(self._deployment.draw_delay_s())

    def retire(self, entry):
        pass


class VirtualNetwork:
    """Network of one process, with the interface of `PeerNetwork` that a pool uses."""

    def __init__(self, deployment, process, number):
        self.incarnation = f"10.0.0.{number}:7000~{number:016x}0123abcd"
        self.failure_domain = process.failure_domain
        self._deployment = deployment
        self._process = process
        self._handlers = {}
        self._on_refused = None

    def register(self, message_type, handler=None, *, inline=False):
        if handler is not None:
            self._handlers[message_type] = handler

    def on_connection_refused(self, callback):
        self._on_refused = callback

    def _pass(self, sender, receiver, message):
        """Wait until a message has arrived; a connection delivers it after a cut."""
        eventlet.sleep(TRIP_S)
        links = self._deployment.links
        if links.bytes_per_s:
            links.carry_in_order(sender.name, receiver.name, message_bytes(message))
        while not links.is_open(sender.name, receiver.name):
            if not (sender.is_alive and receiver.is_alive):
                raise eventlet.greenlet.GreenletExit
            eventlet.sleep(TICK_S)

    def _deliver(self, other, message):
        self._pass(self._process, other, message)
        reply = other.network._handlers[type(message)](self.incarnation, message)
        self._pass(other, self._process, reply)
        return reply

    def call(self, incarnation, message, *, timeout_s):
        other = self._deployment.by_incarnation[incarnation]
        if not other.is_alive and not other.is_silent:
            self._on_refused(incarnation)
            raise PeerUnreachable(incarnation, "connection refused")
        if incarnation == self.incarnation:
            return self._handlers[type(message)](incarnation, message)
        answered = Event()
        eventlet.spawn(lambda: answered.send(self._deliver(other, message)))
        with eventlet.Timeout(timeout_s, PeerOutcomeUnknown(incarnation, "no reply")):
            return answered.wait()

    def send(self, incarnation, message):
        other = self._deployment.by_incarnation[incarnation]
        if other.is_alive:
            eventlet.spawn(self._deliver, other, message)
        elif not other.is_silent:
            self._on_refused(incarnation)


class VirtualProcess(dict):
    """The parts of one process."""

    def __init__(self, deployment, name, failure_domain, number):
        super().__init__()
        self._deployment = deployment
        self.name, self.failure_domain = name, failure_domain
        self.is_alive = True
        self.is_silent = False  # once it has ended, whether nothing refuses connections to it
        self.timers = TimerService(now=now_s)
        self.settings = SimpleNamespace(
            process=SimpleNamespace(
                name=name, failure_domain=failure_domain, max_job_bytes=MAX_JOB_BYTES
            ),
            pool=SimpleNamespace(
                cpu_share=1.0,
                cpu_speed=1.0,
                orders="virtual",
                max_lease_ms=1000,
                distance_factor=1.5,
                grace_s=6.0,
            ),
        )
        self.network = self["peers"] = VirtualNetwork(deployment, self, number)
        self["records"] = VirtualRecords(deployment.store, deployment.links, name)
        self.pool = self["pool"] = PoolPart(self)
        self.pool._pauses._boot_now = now_s  # no suspension of the host
        self.pool._pauses.take_pause_s()
        self.pool.leader._protocol.connect(deployment, self)
        self.pool.probe_domains = lambda domains, _entries: self._unreachable_domains(domains)
        self["catalogue"] = CataloguePart(self)

    def _unreachable_domains(self, domains):
        """Replace the probes of the pool, which open connections."""
        links, endpoints = self._deployment.links, self._deployment.endpoints
        reached = {
            self._deployment.domains[name]
            for name in endpoints
            if links.is_open(self.name, name) and links.is_open(name, self.name)
        }
        return set(domains).difference(reached)

    def start(self):
        self.pool.start()
        self["catalogue"].start()
        eventlet.spawn(self.timers.serve, lambda: not self.is_alive)


class VirtualDeployment:
    """Processes and endpoints in failure domains, and a store.

    Parameters
    ----------
    processes : dict
        Failure domain by name of each process, in the order of their start.
    endpoints : dict
        Failure domain by name of each endpoint.
    run_s : float
        Run time of each task.
    step_run_s : dict, optional
        Run times of the tasks of a step that differ from that.
    stop_s : float, optional
        Seconds that the stop of a run takes.
    max_delay_s : float, optional
        Longest delay of a call to an endpoint, and of its answer; each one is drawn.
    """

    def __init__(
        self, processes, endpoints, *, run_s=1.0, step_run_s=None, stop_s=0.0, max_delay_s=0.0
    ):
        self._max_delay_s = max_delay_s
        self.links = Links()
        self.store = VirtualStore(now_s)
        self.history = []
        self.holders = {}
        self.domains = {**processes, **endpoints}
        self.endpoints = {}
        for name, domain in endpoints.items():
            endpoint = self.endpoints[name] = VirtualEndpoint(Clock(), run_s=run_s)
            endpoint.name, endpoint.history = name, self.history
            endpoint.step_run_s, endpoint.stop_s = step_run_s or {}, stop_s
            self.store.put_worker(name, domain)
        self.store.put_configuration(1)
        self.processes = {
            name: VirtualProcess(self, name, domain, number)
            for number, (name, domain) in enumerate(processes.items(), 1)
        }
        self.by_incarnation = {p.network.incarnation: p for p in self.processes.values()}

    def start(self, *, for_s=3.0):
        """Start all processes and wait until one of them schedules."""
        for process in self.processes.values():
            process.start()
        eventlet.spawn(self._advance_endpoints)
        eventlet.sleep(for_s)
        return self

    def _advance_endpoints(self):
        while True:
            eventlet.sleep(TICK_S)
            for endpoint in self.endpoints.values():
                endpoint.advance()

    def draw_delay_s(self):
        """Return the delay of a message between a process and an endpoint, in seconds."""
        return random.uniform(0.0, self._max_delay_s) if self._max_delay_s else 0.0

    def scheduler(self):
        """Return the process that schedules with the greatest claim."""
        leaders = [p for p in self.processes.values() if p.pool.election.is_scheduler]
        return max(leaders, key=lambda process: process.pool.election.claim)

    def members_of(self, domain):
        """Return the names of the processes and endpoints of a failure domain."""
        return {name for name, other in self.domains.items() if other == domain}

    def cut_off(self, domain, *, how="both", for_s):
        """Cut a failure domain off from the others and the store; `how` may be "in" or "out"."""
        inside = self.members_of(domain)
        outside = set(self.domains).difference(inside) | {"store"}
        if how in ("both", "in"):
            self.links.cut((domain, "in"), outside, inside)
        if how in ("both", "out"):
            self.links.cut((domain, "out"), inside, outside)
        eventlet.spawn_after(for_s, self._heal, domain)

    def _heal(self, domain):
        self.links.heal((domain, "in"))
        self.links.heal((domain, "out"))

    def lose_power(self, name):
        """End a process together with its host, so that nothing answers at its address."""
        self.processes[name].is_silent = True
        self.kill(name)

    def kill(self, name):
        """End a process without notice."""
        process = self.processes[name]
        process.is_alive = False
        everyone = set(self.domains) | {"store"}
        self.links.cut((name, "in"), everyone, {name})
        self.links.cut((name, "out"), {name}, everyone)

    def submit(self, name, spec, *, wait_s, **options):
        """Submit a job at a process in the background; return a list that takes its answer."""
        answers = []

        def run():
            try:
                cells = self.processes[name].pool.cells
                answers.append(cells.submit(spec, wait_s=wait_s, **options))
            except BurdocklugError as exc:
                answers.append(exc)

        eventlet.spawn(run)
        return answers

    def note_token(self, endpoint, token):
        """Record the processes that each endpoint obeyed, in their order, by their numbers."""
        if token and token == self.endpoints[endpoint].token:
            holders = self.holders.setdefault(endpoint, [])
            if holders[-1:] != [token % TOKEN_HOLDERS]:
                holders.append(token % TOKEN_HOLDERS)

    def overlaps(self):
        """Return pairs of runs of one task that were active at the same time."""
        pairs = []
        for number, one in enumerate(self.history):
            for other in self.history[number + 1 :]:
                if one[0] == other[0]:
                    ends = [row[3] if row[3] is not None else now_s() for row in (one, other)]
                    if min(ends) > max(one[2], other[2]):
                        pairs.append((one, other))
        return pairs
