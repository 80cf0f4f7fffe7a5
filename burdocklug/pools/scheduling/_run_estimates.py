"""Expected run times and ends of a scheduler's runs, and what its runs tell of them."""

from burdocklug.pools.scheduling._expiry import JobExpiry
from burdocklug.pools.scheduling._run_times import expected_end_s, expected_run_s, usual_run_s

__all__ = ["RunEstimates"]

ORDER_ROUND_TRIP_S = 0.01  # delivery of order and report, which measured run times include
OVERDUE_FACTOR = 1.6  # multiple of the expected run time after which progress gives a sample


class RunEstimates(JobExpiry):
    """Estimates of the runs of registered jobs; base class of the scheduler.

    Parameters
    ----------
    orders, now : object
        As for `JobRegistry`.
    distance_factor : float
        Factor on the run time of a task outside the rack of its data.
    """

    def __init__(self, orders, *, now, distance_factor):
        super().__init__(orders, now=now)
        self._distance_factor = distance_factor

    def expected_run_s(self, task, endpoint):
        """Return the expected time from start to end of a task on an endpoint, in seconds.

        The start is that of its run there, or now if it has none.
        """
        is_placed = endpoint.runs.get(task.name) is task
        start_s = task.started_s if is_placed else self._now()
        return expected_run_s(task, endpoint, start_s, distance_factor=self._distance_factor)

    def expected_end_s(self, task, endpoint, now_s):
        """Return when a run that is under way should end."""
        return expected_end_s(task, self.expected_run_s(task, endpoint), now_s)

    def note_progress(self, task, endpoint, percent, *, is_prompt=True):
        """Record the progress of a run; a run that takes long gives a sample before its end.

        `is_prompt` states whether it was reported without delay.
        """
        progress, now = task.progress, self._now()
        if endpoint.runs.get(task.name) is not task:
            return
        progress.note(percent, now)
        overdue_s = OVERDUE_FACTOR * self.expected_run_s(task, endpoint)
        projected_s = progress.projected_end_s()
        if is_prompt and projected_s is not None and now - task.started_s > overdue_s:
            self._add_sample(task, endpoint, projected_s - task.started_s)

    def note_run_time(self, task, endpoint, ended_s):
        """Take the time of a run that is done, reported at a time, as a sample."""
        self._add_sample(task, endpoint, ended_s - task.started_s - ORDER_ROUND_TRIP_S)

    def _add_sample(self, task, endpoint, run_s):
        """Apply the time of a run, once, to what is known of its endpoint and its queue.

        The start of an adopted run is an estimate, and a cold endpoint is slow only for a time.
        """
        progress = task.progress
        if progress.is_adopted or progress.is_sampled or task.started_s < endpoint.cold_until_s:
            return
        progress.is_sampled = True
        usual_s = usual_run_s(task, endpoint, distance_factor=self._distance_factor)
        self.samples.add(endpoint, task.job.times, run_s, usual_s)

    def update_median_slowness(self):
        """Update the median slowness and let idle endpoints recover; call it once a second."""
        self.samples.update_median(self.endpoints.values())
