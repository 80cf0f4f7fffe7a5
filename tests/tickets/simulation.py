"""Simulated fleet in virtual time: fake store, fake network, and greenlets for blocking calls.

Everything runs on one TimerService, so a run is determined by its seed. Faults are injected by
attributes of the fakes. The configuration of each process is checked at each of its changes.
"""

import collections
import random
from dataclasses import dataclass

import msgspec
from greenlet import GreenletExit, getcurrent, greenlet

from burdocklug.kernel import TimerService
from burdocklug.peers import Member, MemberState, PeerOutcomeUnknown, PeerUnreachable
from burdocklug.store import (
    BudgetedStore,
    Entry,
    StoreUnavailable,
    StoreUncertain,
    VersionMismatch,
)
from burdocklug.tickets import Configuration, TicketReplicator, TicketService
from burdocklug.tickets._loop import Loop

STORE_ROUND_TRIP_S = 0.004
STORE_TIMEOUT_S = 2.0
LOCAL_LATENCY_S = 0.0002
REMOTE_LATENCY_S = 0.0015
HEARTBEAT_S = 0.5
SUSPECT_S = 2.0
DEAD_S = 5.0
REMOTE_LINKS = 4
CALLS_PER_S = 20.0


class Simulation:
    """Virtual clock and its greenlets; `failures` collects exceptions and violated checks."""

    def __init__(self, seed=1):
        self.now_s = 0.0
        self.rng = random.Random(seed)
        self.timers = TimerService(now=lambda: self.now_s)
        self.failures = []
        self._main = getcurrent()

    def run(self, seconds):
        end_s = self.now_s + seconds
        while (due_s := self.timers.next_due_s()) is not None and due_s <= end_s:
            self.now_s = due_s
            self.timers.run_due()
        self.now_s = end_s

    def run_checked(self, function, *args):
        try:
            return function(*args)
        except GreenletExit:
            raise
        except Exception as exc:
            self.failures.append(exc)

    def block(self):
        return self._main.switch()

    def spawn(self, timers, function, *args):
        call = Call(timers, greenlet(lambda: self.run_checked(function, *args), parent=self._main))
        timers.after(0, call.resume)
        return call

    def sleep(self, timers, seconds):
        timers.after(seconds, Call(timers, getcurrent()).resume)
        self.block()


@dataclass
class Call:
    timers: object
    greenlet: object

    def resume(self, value=None):
        if not self.greenlet.dead:
            self.greenlet.switch(value) if self.greenlet else self.greenlet.switch()

    def kill(self):
        self.timers.after(0, lambda: self.greenlet.dead or self.greenlet.throw())


class ProcessTimers:
    """Timers of one process: callbacks are postponed while it is frozen and dropped once killed."""

    def __init__(self, sim):
        self.sim = sim
        self.now = sim.timers.now
        self.frozen = False
        self.killed = False
        self._postponed = []

    def after(self, delay_s, callback):
        return self.sim.timers.after(delay_s, lambda: self._call(callback))

    def every(self, period_s, callback):
        return self.sim.timers.every(period_s, lambda: self._call(callback, postpone=False))

    def thaw(self):
        self.frozen = False
        postponed, self._postponed = self._postponed, []
        for callback in postponed:
            self.after(0, callback)

    def _call(self, callback, postpone=True):
        if self.frozen and postpone:
            self._postponed.append(callback)
        elif not self.frozen and not self.killed:
            self.sim.run_checked(callback)


class FakeStore:
    """Fake of the platform's store that counts calls by purpose and bytes by process.

    Attributes that inject faults are `down`; `round_trip_s`, the duration of each call;
    `unreachable_from`, names of processes whose calls time out; `hung_watches`, names of processes
    whose watches never return; `stale_reads`, an old entry to return to reads, by process name;
    and `lose_answers`, the number of next writes that take effect but time out.
    """

    def __init__(self, sim):
        self.sim = sim
        self.entry = None
        self.down = False
        self.unreachable_from = set()
        self.hung_watches = set()
        self.stale_reads = {}
        self.lose_answers = 0
        self.round_trip_s = STORE_ROUND_TRIP_S
        self.calls = collections.Counter()
        self.bytes = collections.Counter()
        self.waiting = []

    def write(self, key, value, expected):
        current = 0 if self.entry is None else self.entry.version
        if expected != current:
            return VersionMismatch(key, expected, self.entry)
        self.entry = Entry(key, value, current + 1)
        waiting, self.waiting = self.waiting, []
        for wake in waiting:
            wake()
        return self.entry


class StoreClient:
    """Client of the fake store in one process."""

    def __init__(self, store, process):
        self.store = store
        self.process = process

    def get(self, key, *, purpose):
        self._begin(purpose)
        return self._finish(self.store.stale_reads.get(self.process.name, self.store.entry))

    def put(self, key, value, *, expected_version, lease_id=None, purpose):
        self._begin(purpose, uncertain=True)
        result = self.store.write(key, value, expected_version)
        self.store.bytes[self.process.name] += len(value)
        if self.store.lose_answers:
            self.store.lose_answers -= 1
            self._pause(STORE_TIMEOUT_S)
            raise StoreUncertain("no answer")
        self._pause(self.store.round_trip_s / 2)
        if isinstance(result, Exception):
            raise result
        return result

    def watch(self, key, *, after_version, timeout_s, purpose):
        self._begin(purpose)
        end_s = self.store.sim.now_s + timeout_s
        while self.process.name not in self.store.hung_watches:
            entry = self.store.stale_reads.get(self.process.name, self.store.entry)
            if entry is not None and entry.version > after_version:
                return self._finish(entry)
            if self.store.sim.now_s >= end_s:
                return self._finish(None)
            self._pause(end_s - self.store.sim.now_s, until_write=True)
        return self.store.sim.block()

    def close(self):
        pass

    def _begin(self, purpose, uncertain=False):
        self.store.calls[purpose] += 1
        if self.store.down:
            self._pause(self.store.round_trip_s)
            raise StoreUnavailable("refused")
        if self.process.name in self.store.unreachable_from:
            self._pause(STORE_TIMEOUT_S)
            raise StoreUncertain("no answer") if uncertain else StoreUnavailable("no answer")
        self._pause(self.store.round_trip_s / 2)

    def _finish(self, entry):
        if entry is not None:
            self.store.bytes[self.process.name] += len(entry.value)
        self._pause(self.store.round_trip_s / 2)
        if self.process.name in self.store.unreachable_from or self.store.down:
            self._pause(STORE_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        return entry

    def _pause(self, seconds, until_write=False):
        call = Call(self.process.timers, getcurrent())
        done = []

        def wake():
            if not done:
                done.append(True)
                call.resume()

        self.process.timers.after(seconds, wake)
        if until_write:
            self.store.waiting.append(lambda: self.process.timers.after(0, wake))
        self.store.sim.block()


class UncoalescedCalls:
    """Disables coalescing of calls, which would block on the real event loop."""

    def is_in_flight(self, _key):
        return False

    def run(self, _key, call):
        return call()

    def forget(self, _matches):
        pass


class FakeNetwork:
    """Fake PeerNetwork of one process."""

    def __init__(self, fleet, process):
        self.fleet = fleet
        self.process = process
        self.incarnation = process.incarnation
        self.handlers = {}
        self.parts = {}
        process.timers.every(HEARTBEAT_S, self._send_heartbeats)

    def register(self, message_type, handler=None):
        self.handlers[message_type] = handler

    def add_heartbeat_part(self, name, produce, consume):
        self.parts[name] = (produce, consume)

    def members(self):
        return [self.fleet.member(self.process, other) for other in self.fleet.others(self.process)]

    def send(self, incarnation, message):
        target = self.fleet.by_incarnation(incarnation)
        self.fleet.transmit(
            self.process, target, message, lambda: target.network.handle(self, message)
        )

    def handle(self, sender, message, reply=None):
        def run():
            answer = self.handlers[type(message)](sender.incarnation, message)
            if reply is not None:
                self.fleet.transmit(self.process, sender.process, answer, lambda: reply(answer))

        self.fleet.sim.spawn(self.process.timers, run)

    def call(self, incarnation, message, *, timeout_s):
        target = self.fleet.by_incarnation(incarnation)
        if target is None or target.timers.killed:
            raise PeerUnreachable(incarnation, "refused")
        call, done = Call(self.process.timers, getcurrent()), []

        def reply(answer):
            if not done:
                done.append(answer)
                call.resume()

        self.fleet.transmit(
            self.process, target, message, lambda: target.network.handle(self, message, reply)
        )
        self.process.timers.after(timeout_s, lambda: reply(None))
        self.fleet.sim.block()
        if done[0] is None:
            raise PeerOutcomeUnknown(incarnation, "no reply")
        return done[0]

    def _send_heartbeats(self):
        for target in self.fleet.heartbeat_targets(self.process):
            value = self.parts["tickets"][0]()
            plain = msgspec.msgpack.decode(msgspec.msgpack.encode(value))
            self.fleet.transmit(self.process, target, value, self._consumer(target, plain))

    def _consumer(self, target, value):
        member = self.fleet.member(target, self.process)
        return lambda: target.network.parts["tickets"][1](member, value)


class FakeProcess:
    """One process with its configuration, which is checked at each change."""

    def __init__(self, fleet, name, failure_domain):
        sim = fleet.sim
        self.fleet = fleet
        self.name = name
        self.failure_domain = failure_domain
        self.incarnation = f"127.0.0.1:{fleet.next_port()}~0123456789abcdef01234567"
        address = self.incarnation.partition("~")[0]
        self.member_by_state = {
            state: Member(self.incarnation, name, address, failure_domain, state)
            for state in MemberState
        }
        self.timers = ProcessTimers(sim)
        self.cfg = Configuration()
        self.network = FakeNetwork(fleet, self)
        rng = random.Random(sim.rng.random())
        client = StoreClient(fleet.store, self)
        store = BudgetedStore(client, calls_per_s=CALLS_PER_S, now=self.timers.now, rng=rng)
        store._in_flight_reads = UncoalescedCalls()
        loop = Loop(
            lambda function, *args: sim.spawn(self.timers, function, *args),
            lambda seconds: sim.sleep(self.timers, seconds),
        )
        self.spread = TicketReplicator(
            self.cfg,
            store,
            self.network,
            self.timers,
            failure_domain=failure_domain,
            loop=loop,
            rng=rng,
        )
        self.service = TicketService(
            store, self.spread, self.network, self.timers, name=name, loop=loop, rng=rng
        )
        self.last_numbers = {}
        self.in_force_s = {}
        self.cfg.subscribe(self._check)
        sim.spawn(self.timers, self.spread.start)

    def apply(self, ticket):
        """Apply a ticket concurrently; the result or error is appended to the returned list."""
        result = []

        def run():
            try:
                result.append(self.service.apply(ticket))
                self.fleet.accepted_s.setdefault(ticket.number, self.fleet.sim.now_s)
            except Exception as exc:
                result.append(exc)

        self.fleet.tickets.append(ticket)
        self.fleet.sim.spawn(self.timers, run)
        return result

    def numbers(self):
        return {name: version.number for name, version in self.cfg.value.objects.items()}

    def _check(self):
        value = self.cfg.value
        for name in self.last_numbers.keys() | value.objects.keys():
            number = value.number_of(name)
            if number < self.last_numbers.get(name, 0):
                self.fleet.sim.failures.append(
                    f"{self.name}: ticket number of {name} decreased to {number}"
                )
            self.last_numbers[name] = number
        for ticket in self.fleet.tickets:
            has = [value.number_of(name) >= ticket.number for name in ticket.objects]
            mine = [v for v in value.objects.values() if v.number == ticket.number]
            if mine and not all(has):
                self.fleet.sim.failures.append(
                    f"{self.name}: only part of ticket {ticket.number} in force"
                )
            if mine or all(has):
                self.in_force_s.setdefault(ticket.number, self.fleet.sim.now_s)


class Fleet:
    """Processes in failure domains that share one store."""

    def __init__(self, size, *, domains=("freistadt", "rohrbach", "perg"), seed=1):
        self.sim = Simulation(seed)
        self.store = FakeStore(self.sim)
        self.tickets = []
        self.accepted_s = {}
        self.messages = collections.Counter()
        self.bytes = collections.Counter()
        self.domains = domains
        self._partitioned_since_s = {}
        self._ports = iter(range(10_001, 65_000))
        self.processes = [
            FakeProcess(
                self, f"{domains[i % len(domains)]}-{i // len(domains)}", domains[i % len(domains)]
            )
            for i in range(size)
        ]

    def next_port(self):
        return next(self._ports)

    def in_domain(self, domain):
        return [p for p in self.processes if p.failure_domain == domain]

    def others(self, process):
        return [other for other in self.processes if other is not process]

    def by_incarnation(self, incarnation):
        return next((p for p in self.processes if p.incarnation == incarnation), None)

    def heartbeat_targets(self, process):
        local = self.in_domain(process.failure_domain)
        remote = [p for p in self.processes if p.failure_domain != process.failure_domain]
        first = self.processes.index(process)
        remote = [remote[(first + i) % len(remote)] for i in range(min(REMOTE_LINKS, len(remote)))]
        return [p for p in [*local, *remote] if p is not process]

    def partition(self, *domains):
        """Drop all messages between the given failure domains and any other one."""
        for a in domains:
            for b in set(self.domains) - {a}:
                self._partitioned_since_s.setdefault(frozenset((a, b)), self.sim.now_s)

    def heal(self):
        self._partitioned_since_s.clear()

    def freeze(self, process):
        process.timers.frozen = True
        process.frozen_since_s = self.sim.now_s

    def restart(self, process):
        process.timers.killed = True
        index = self.processes.index(process)
        self.processes[index] = FakeProcess(self, process.name, process.failure_domain)
        return self.processes[index]

    def member(self, observer, other):
        pair = frozenset((observer.failure_domain, other.failure_domain))
        since_s = self._partitioned_since_s.get(pair)
        if other.timers.frozen:
            since_s = min(since_s or other.frozen_since_s, other.frozen_since_s)
        silent_s = 0 if since_s is None else self.sim.now_s - since_s
        state = MemberState.ALIVE if silent_s < SUSPECT_S else MemberState.SUSPECT
        state = state if silent_s < DEAD_S else MemberState.DEAD
        return other.member_by_state[state]

    def transmit(self, sender, target, message, deliver):
        """Count a message and deliver it after its latency, unless its domains are partitioned."""
        size = 0 if message is None else len(msgspec.msgpack.encode(message))
        self.messages[type(message).__name__] += 1
        self.bytes[sender.name] += size
        if target is None or target.timers.killed:
            return
        if frozenset((sender.failure_domain, target.failure_domain)) in self._partitioned_since_s:
            return
        local = sender.failure_domain == target.failure_domain
        latency_s = (LOCAL_LATENCY_S if local else REMOTE_LATENCY_S) * self.sim.rng.uniform(1, 1.5)
        target.timers.after(latency_s, deliver)
