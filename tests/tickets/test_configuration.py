from testtools import TestCase
from testtools.matchers import Equals, HasLength

from burdocklug.tickets import Configuration, ConfigValue
from tests.tickets.builders import SERVICE, apply_all, endpoint_set, make_ticket, team

WHOLE = {"service/s": SERVICE, "endpoints/s": endpoint_set(2), "team/a": team(7)}


class ConfigurationTest(TestCase):
    def test_lookups(self):
        cfg = Configuration()
        self.assertThat(
            (cfg.service("s"), cfg.endpoints("s"), cfg.team("a")), Equals((None, (), None))
        )
        cfg.merge(apply_all([make_ticket(1, WHOLE)]))
        self.assertThat(cfg.is_empty(), Equals(False))
        self.assertThat(cfg.service("s").max_queue, Equals(1000))
        self.assertThat(cfg.endpoints("s"), HasLength(2))
        self.assertThat(cfg.team("a").max_running, Equals(7))
        self.assertThat((cfg.services(), cfg.teams()), Equals((["s"], ["a"])))
        cfg.merge(apply_all([make_ticket(2, {name: None for name in WHOLE})]))
        self.assertThat(
            (cfg.service("s"), cfg.endpoints("s"), cfg.team("a")), Equals((None, (), None))
        )
        self.assertThat((cfg.services(), cfg.teams()), Equals(([], [])))

    def test_all_objects_of_a_ticket_take_effect_together(self):
        cfg, seen = Configuration(), []
        cfg.subscribe(
            lambda: seen.append((cfg.service("s"), len(cfg.endpoints("s")), cfg.team("a")))
        )
        changed = cfg.merge(apply_all([make_ticket(1, WHOLE)]))
        self.assertThat(changed, Equals(frozenset(WHOLE)))
        self.assertThat(seen, HasLength(1))
        self.assertThat(None in seen[0], Equals(False))

    def test_a_lower_number_neither_replaces_nor_notifies(self):
        old = apply_all([make_ticket(1, WHOLE)])
        new = apply_all([make_ticket(2, {**WHOLE, "team/a": None})], old)
        cfg, seen = Configuration(), []
        cfg.merge(new)
        digest = cfg.digest
        cfg.subscribe(lambda: seen.append(1))
        for value in (old, new, ConfigValue(), old):
            self.assertThat(cfg.merge(value), Equals(frozenset()))
        self.assertThat((cfg.team("a"), cfg.digest, seen), Equals((None, digest, [])))

    def test_a_failing_subscriber_does_not_stop_the_others(self):
        cfg, seen = Configuration(), []
        cfg.subscribe(lambda: 1 / 0)
        cfg.subscribe(lambda: seen.append(1))
        cfg.merge(apply_all([make_ticket(1)]))
        self.assertThat(seen, Equals([1]))
