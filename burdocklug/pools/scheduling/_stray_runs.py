"""Runs that endpoints have, or may have, of tasks that are not placed there.

A task is not started anywhere while it has such a run, which may go on until its stop is reported.
"""

from collections import Counter, defaultdict

__all__ = ["StrayRuns"]


class StrayRuns:
    """Stray runs of all endpoints, by the names of their tasks.

    Examples
    --------
    >>> strays = StrayRuns()
    >>> strays.add("j1.0.0.0", "e1")
    >>> strays.has("j1.0.0.0"), strays.endpoint_ids("j1")
    (True, {'e1'})
    >>> strays.discard("j1.0.0.0", "e1")
    >>> strays.has("j1.0.0.0")
    False
    """

    def __init__(self):
        self._endpoint_ids = defaultdict(Counter)  # with the number of agents, by task name
        self._task_names = defaultdict(set)  # by job id

    def add(self, name, endpoint_id):
        """Record for an agent of an endpoint that this may run a task."""
        self._endpoint_ids[name][endpoint_id] += 1
        self._task_names[_job_id(name)].add(name)

    def discard(self, name, endpoint_id):
        """Take back what `add` recorded."""
        self._endpoint_ids[name] -= Counter([endpoint_id])
        if not self._endpoint_ids[name]:
            del self._endpoint_ids[name]
            self._task_names[_job_id(name)].discard(name)
            if not self._task_names[_job_id(name)]:
                del self._task_names[_job_id(name)]

    def has(self, name):
        """Return whether any endpoint may have a stray run of a task."""
        return name in self._endpoint_ids

    def endpoint_ids(self, job_id):
        """Return the endpoints that may have stray runs of a job's tasks, as a set."""
        names = self._task_names.get(job_id, ())
        return {endpoint_id for name in names for endpoint_id in self._endpoint_ids[name]}


def _job_id(task_name):
    return task_name.partition(".")[0]
