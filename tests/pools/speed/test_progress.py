from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools.speed import RunProgress


class RunProgressTest(TestCase):
    def project(self, progress, *reports):
        for percent, now_s in reports:
            progress.note(percent, now_s)
        end_s = progress.projected_end_s()
        return None if end_s is None else round(end_s, 3)

    def test_the_end_follows_from_the_pace(self):
        self.assertThat(self.project(RunProgress(100.0), (25, 101.0)), Equals(104.0))

    def test_little_progress_tells_nothing(self):
        self.assertThat(self.project(RunProgress(100.0), (0, 101.0)), Equals(None))
        self.assertThat(self.project(RunProgress(100.0), (4, 101.0)), Equals(None))

    def test_the_pace_of_an_adopted_run_counts_from_its_adoption(self):
        progress = RunProgress(100.0, from_percent=40, is_adopted=True)
        self.assertThat(self.project(progress, (41, 100.2)), Equals(None))
        self.assertThat(self.project(progress, (60, 101.0)), Equals(103.0))
