import functools

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.store import HostList, merge_host_lists

IPS = st.frozensets(st.sampled_from(["10.0.0.1", "10.0.0.2", "10.0.0.3"]))
LISTS = st.builds(HostList, st.integers(0, 4), IPS, IPS)
fixed = settings(derandomize=True, deadline=None)


def merge_all(lists):
    return functools.reduce(merge_host_lists, lists, HostList(0))


class MergeHostListsTest(TestCase):
    @fixed
    @given(st.lists(LISTS, min_size=1, max_size=6), st.randoms(use_true_random=False))
    def test_any_order_and_repetition_gives_the_same_list(self, lists, rng):
        shuffled = lists + rng.choices(lists, k=3)
        rng.shuffle(shuffled)
        self.assertThat(merge_all(shuffled), Equals(merge_all(lists)))

    @fixed
    @given(LISTS, LISTS, LISTS)
    def test_any_grouping_gives_the_same_list(self, a, b, c):
        left = merge_host_lists(merge_host_lists(a, b), c)
        self.assertThat(left, Equals(merge_host_lists(a, merge_host_lists(b, c))))

    @fixed
    @given(LISTS, LISTS)
    def test_an_older_list_changes_nothing(self, a, b):
        old, new = sorted((a, b), key=lambda hosts: hosts.version)
        if old.version < new.version:
            self.assertThat(merge_host_lists(new, old), Equals(merge_host_lists(new, new)))

    @fixed
    @given(LISTS, LISTS)
    def test_no_host_is_both_live_and_leaving(self, a, b):
        merged = merge_host_lists(a, b)
        self.assertThat(merged.live & merged.leaving, Equals(frozenset()))

    def test_flapping_list_follows_the_newest_version_only(self):
        host = frozenset({"10.0.0.1"})
        flaps = [HostList(v, *((host, frozenset()) if v % 2 else (frozenset(), host)))
                 for v in (1, 2, 1, 3, 2, 4, 3, 1)]  # fmt: skip
        self.assertThat(merge_all(flaps).leaving, Equals(host))
