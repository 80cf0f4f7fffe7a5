from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.peers import Member, MemberState
from burdocklug.peers._topology import choose_heartbeat_links, choose_platform_reader

LAYOUTS = st.lists(st.integers(min_value=1, max_value=8), min_size=2, max_size=8)


def fleet_of(sizes):
    return {f"{d}-{i}": d for d, size in enumerate(sizes) for i in range(size)}


def links_of(fleet, count):
    return {
        own: choose_heartbeat_links(
            own, domain, {m: d for m, d in fleet.items() if m != own}, count=count
        )
        for own, domain in fleet.items()
    }


def is_connected(nodes, edges):
    reached, frontier = set(), [min(nodes)]
    while frontier:
        node = frontier.pop()
        if node not in reached:
            reached.add(node)
            frontier.extend(other for pair in edges if node in pair for other in pair)
    return reached >= set(nodes)


class ChooseLinksTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(LAYOUTS, st.integers(min_value=1, max_value=5))
    def test_links_are_bounded_and_leave_the_own_failure_domain(self, sizes, count):
        fleet = fleet_of(sizes)
        for own, links in links_of(fleet, count).items():
            self.assertTrue(len(links) <= count)
            self.assertTrue(all(fleet[link] != fleet[own] for link in links))

    @settings(derandomize=True, deadline=None)
    @given(LAYOUTS, st.integers(min_value=2, max_value=5))
    def test_failure_domains_stay_connected_when_one_is_cut_off(self, sizes, count):
        sizes = [max(size, len(sizes)) for size in sizes]
        fleet = fleet_of(sizes)
        edges = {
            (fleet[own], fleet[link])
            for own, links in links_of(fleet, count).items()
            for link in links
        }
        for lost in range(len(sizes)):
            left = [domain for domain in range(len(sizes)) if domain != lost]
            kept = {edge for edge in edges if lost not in edge}
            self.assertTrue(is_connected(left, kept))

    def test_a_change_of_one_member_moves_few_links(self):
        fleet = fleet_of([12, 13, 12, 13])
        before = links_of(fleet, 4)
        gone = "1-5"
        after = links_of({m: d for m, d in fleet.items() if m != gone}, 4)
        for own in ("0-3", "2-7", "3-1"):
            kept = before[own] & after[own]
            self.assertTrue(len(kept) >= len(before[own]) - 1)

    def test_small_fleet_uses_all_its_links(self):
        links = links_of(fleet_of([3, 2, 2]), 4)
        self.assertThat({len(chosen) for chosen in links.values()}, Equals({4}))

    def test_links_of_both_ends_together_are_bounded(self):
        links = links_of(fleet_of([12, 13, 12, 13]), 4)
        both = [links[own] | {m for m in links if own in links[m]} for own in links]
        self.assertThat({len(chosen) for chosen in links.values()}, Equals({3}))
        self.assertTrue(max(len(ends) for ends in both) <= 8)
        self.assertTrue(sum(len(ends) for ends in both) <= 5 * len(links))


class ChooseReaderTest(TestCase):
    """One process per failure domain reads from the platform: the lowest alive incarnation."""

    def member(self, incarnation, state=MemberState.ALIVE, domain="north"):
        return Member(incarnation, incarnation, "", domain, state)

    def test_the_lowest_living_one_of_the_own_failure_domain(self):
        members = [
            self.member("a", domain="south"),
            self.member("b", MemberState.DEAD),
            self.member("c", MemberState.SUSPECT),
            self.member("e"),
        ]
        self.assertThat(choose_platform_reader("f", "north", members), Equals("e"))
        self.assertThat(choose_platform_reader("d", "north", members), Equals("d"))
        self.assertThat(choose_platform_reader("d", "north", []), Equals("d"))
