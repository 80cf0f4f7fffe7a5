"""The ways of routing that the slot leases are measured against."""

from bench._fleet import Process
from bench._workload import ENDPOINTS
from burdocklug.kernel import Registry
from burdocklug.limits import FairQueue
from burdocklug.routing import RouteEndpoint, RouteMember, choose_allocators

__all__ = ["ways"]

BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.1
SAMPLES = 3  # pairs that are compared before a task waits
HEARTBEAT_S = 0.5

ways = Registry("way of routing")


@ways.register("baseline")
class RandomProcess(Process):
    """Random endpoint, no wait for a free slot, refused tries go elsewhere after a pause."""

    def dispatch(self):
        """Start every waiting task at once."""
        while (entry := self.queue.pop()) is not None:
            self._try(entry.task_ref, BACKOFF_S)

    def _try(self, task, backoff_s):
        name = f"endpoint-{self.fleet.rng.randrange(ENDPOINTS)}"
        self.fleet.start(self, name, task, backoff_s)

    def refused(self, task, endpoint, lease):
        """Try another endpoint."""
        pause_s = lease * self.fleet.rng.uniform(0.5, 1.5)
        self.fleet.loop.after(pause_s, self._try, task, min(2 * lease, MAX_BACKOFF_S))

    def finished(self, task, endpoint, lease):
        """Note the result."""
        self.fleet.complete(task)


@ways.register("static")
class StaticProcess(Process):
    """Each process has its own fixed share of every endpoint's slots."""

    def prepare(self):
        """Deal out all slots, one after another."""
        names = [name for name, e in self.fleet.endpoints.items() for _ in range(e.slots)]
        count = sum(self.fleet.deployment.processes)
        self.free = names[self.number :: count]

    def dispatch(self):
        """Start on own free slots."""
        while self.free and (entry := self.queue.pop()) is not None:
            name = self.free.pop()
            self.fleet.start(self, name, entry.task_ref, name)

    def finished(self, task, endpoint, lease):
        """Take the slot back."""
        self.free.append(lease)
        self.fleet.complete(task)
        self.dispatch()

    def refused(self, task, endpoint, lease):
        """Queue the task again; only a dead endpoint refuses."""
        self.push(task)
        self.fleet.loop.after(BACKOFF_S, self.free.append, lease)


@ways.register("two_choices")
class TwoChoicesProcess(Process):
    """The better of two random endpoints by the last known free slots; refusals go back."""

    def prepare(self):
        """Assume all slots free."""
        self.known = {name: e.slots for name, e in self.fleet.endpoints.items()}
        self.again = []
        self.pausing = False
        self.backoff_s = BACKOFF_S

    def dispatch(self):
        """Start while a pair with a free slot is found."""
        while self.again or len(self.queue):
            name = self._pick()
            if name is None:
                self._pause()
                return
            task = self.again.pop() if self.again else self.queue.pop().task_ref
            self.known[name] -= 1
            self.fleet.start(self, name, task)

    def _pause(self):
        if not self.pausing:
            self.pausing = True
            self.fleet.loop.after(self.backoff_s, self._reset)
            self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)

    def _reset(self):
        self.pausing = False
        if self.again or len(self.queue):
            name = f"endpoint-{self.fleet.rng.randrange(ENDPOINTS)}"
            self.known[name] = max(self.known[name], 1)
            self.dispatch()

    def _pick(self):
        for _ in range(SAMPLES):
            pair = [f"endpoint-{self.fleet.rng.randrange(ENDPOINTS)}" for _ in range(2)]
            name = max(pair, key=lambda key: self.known[key])
            if self.known[name] > 0:
                return name
        return None

    def finished(self, task, endpoint, lease):
        """Learn the endpoint's free slots."""
        self.backoff_s = BACKOFF_S
        self.known[endpoint.name] = endpoint.free()
        self.fleet.complete(task)
        self.dispatch()

    def refused(self, task, endpoint, lease):
        """Learn that the endpoint is full and try again."""
        self.known[endpoint.name] = 0
        self.again.append(task)
        self.dispatch()


@ways.register("delegation")
class DelegationProcess(Process):
    """Each endpoint is kept by one process, to which others hand tasks in batches."""

    def prepare(self):
        """Find the keepers; each knows exactly what runs on its endpoints."""
        members = [RouteMember(p.name, p.failure_domain) for p in self.fleet.processes]
        self.capacity = {}
        self.free = []
        endpoints = self.fleet.endpoints.values()
        routes = [RouteEndpoint(e.name, e.failure_domain, e.slots) for e in endpoints]
        keepers = choose_allocators(routes, members)
        for endpoint in endpoints:
            keeper = keepers[endpoint.name]
            self.capacity[keeper] = self.capacity.get(keeper, 0) + endpoint.slots
            if keeper == self.name:
                self.free += [endpoint.name] * endpoint.slots
        self.kept = FairQueue(max_tasks=10**6)
        self.known = dict.fromkeys(self.capacity, 0)  # tasks at each keeper
        self.fleet.loop.after(HEARTBEAT_S, self._heartbeat)

    def _heartbeat(self):
        for process in self.fleet.processes:
            if process.name in process.capacity:
                running = process.capacity[process.name] - len(process.free)
                self.known[process.name] = running + len(process.kept)
        self.fleet.loop.after(HEARTBEAT_S, self._heartbeat)

    def dispatch(self):
        """Hand each waiting task to the keeper with the least known load, in batches."""
        batches = {}
        while (entry := self.queue.pop()) is not None:
            keeper = min(self.known, key=self._load)
            self.known[keeper] += 1
            batches.setdefault(keeper, []).append(entry.task_ref)
        for keeper, tasks in batches.items():
            if keeper == self.name:
                self._keep(self.name, tasks)
            else:
                self.fleet.send(self, keeper, ("tasks", tasks), "delegate")

    def _load(self, keeper):
        local = self.fleet.by_name[keeper].failure_domain == self.failure_domain
        ratio = self.known[keeper] / self.capacity[keeper]
        return (max(ratio, 0.75), not local, ratio)

    def _keep(self, owner, tasks):
        for task in tasks:
            self.kept.push(
                (owner, task), team=task.job.team, job=task.job.key, cost_s=task.declared_s
            )
        self._start_kept()

    def _start_kept(self):
        while self.free and (entry := self.kept.pop()) is not None:
            owner, task = entry.task_ref
            name = self.free.pop()
            self.fleet.start(self, name, task, (owner, name))

    def receive(self, sender, message):
        """Take delegated tasks, or the result of one."""
        kind, value = message
        if kind == "tasks":
            self._keep(sender, value)
        else:
            self._result(sender, value)

    def _result(self, keeper, task):
        self.known[keeper] = max(0, self.known[keeper] - 1)
        self.fleet.complete(task)

    def finished(self, task, endpoint, lease):
        """Free the slot and hand the result back."""
        owner, name = lease
        self.free.append(name)
        if owner == self.name:
            self._result(self.name, task)
        else:
            self.fleet.send(self, owner, ("result", task), "handback")
        self._start_kept()
