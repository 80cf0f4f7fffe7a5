"""Differences between versions of the configuration."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from burdocklug.pools._configuration import PoolConfiguration, QueueRule, ServiceRule
from burdocklug.pools._differences import (
    apply_change,
    decode_change,
    difference,
    encode_change,
    share_rules,
)


def queue(name, **changes):
    return QueueRule(name, "press.example", f"/{name}/", "press-control", **changes)


def configuration(version, queues):
    return PoolConfiguration(version, tuple(queues), (ServiceRule("press-control"),))


RULES = st.builds(queue, st.sampled_from("abcdefgh"), timeout_s=st.sampled_from([1.0, 2.0, 3.0]))
QUEUES = st.lists(RULES, max_size=8, unique_by=lambda rule: rule.name)
QUEUES_WITH_TWINS = st.lists(RULES, max_size=8)


class DifferenceTest(TestCase):
    @settings(deadline=None)
    @given(QUEUES, QUEUES)
    def test_the_change_from_any_version_to_any_other_leads_to_it(self, before, after):
        old, new = configuration(3, before), configuration(7, after)
        change = decode_change(encode_change(difference(old, new)))
        self.assertThat(apply_change(old, change), Equals(new))

    @settings(deadline=None)
    @given(QUEUES_WITH_TWINS, QUEUES_WITH_TWINS)
    def test_queues_with_the_same_name_are_kept_apart(self, before, after):
        old, new = configuration(3, before), configuration(7, after)
        self.assertThat(apply_change(old, difference(old, new)), Equals(new))

    @given(QUEUES, QUEUES)
    def test_shared_rules_change_no_value(self, before, after):
        old, new = configuration(3, before), configuration(7, after)
        shared = share_rules(old, new)
        self.assertThat(shared, Equals(new))
        same = {id(rule) for rule in old.queues}
        self.assertThat(
            [rule.name for rule in shared.queues if id(rule) not in same],
            Equals([rule.name for rule in new.queues if rule not in old.queues]),
        )

    def test_a_change_of_one_route_among_thousands_is_small(self):
        rules = [queue(f"route-{number}") for number in range(4000)]
        old, new = configuration(3, rules), configuration(4, [*rules[1:], queue("late")])
        self.assertThat(len(encode_change(difference(old, new))), LessThan(1000))

    def test_a_change_is_not_applied_to_another_version(self):
        change = difference(configuration(3, [queue("a")]), configuration(4, [queue("b")]))
        self.assertRaises(ValueError, apply_change, configuration(2, [queue("a")]), change)

    def test_bytes_that_are_no_change_are_refused(self):
        whole = encode_change(difference(configuration(3, []), configuration(4, [queue("b")])))
        for data in (b"", b"odd", whole[:-3], encode_change({"version": 4})):
            self.assertRaises(ValueError, decode_change, data)
