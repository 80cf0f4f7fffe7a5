from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.tickets import _merge as merge
from burdocklug.tickets import join
from burdocklug.tickets._delta import apply_delta, changes_since, known_versions, newer_than
from tests.tickets.test_merge import SEEDED, SMALL_BOUNDS, history, tickets


class DeltaTest(TestCase):
    def assert_joined(self, found, ours, theirs):
        expected = join(ours, theirs)
        self.assertThat(found.objects, Equals(expected.objects))
        self.assertThat(found.floor, Equals(expected.floor))

    @SEEDED
    @given(st.data(), tickets)
    def test_a_delta_does_what_the_whole_value_does(self, data, drawn):
        with mock.patch.multiple(merge, **SMALL_BOUNDS):
            values = history(drawn)
        ours, theirs = (data.draw(st.sampled_from(values)) for _side in range(2))
        delta = newer_than(theirs, known_versions(ours))
        self.assert_joined(apply_delta(ours, delta), ours, theirs)

    @SEEDED
    @given(st.data(), tickets)
    def test_changes_since_lead_from_the_older_to_the_newer_value(self, data, drawn):
        with mock.patch.multiple(merge, **SMALL_BOUNDS):
            values = history(drawn)
        older, newer = sorted(data.draw(st.integers(0, len(values) - 1)) for _side in range(2))
        delta = changes_since(values[newer], values[older])
        self.assert_joined(apply_delta(values[older], delta), values[older], values[newer])
