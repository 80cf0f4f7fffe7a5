from types import SimpleNamespace

import eventlet
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools.agents import HolderState
from burdocklug.pools.election._holders import HolderSampling, choose_samples, sample_holders
from tests.pools.virtual_deployment import now_s, run_in_virtual_time

FREE, HELD, UNREACHED = HolderState.FREE, HolderState.HELD, HolderState.UNREACHED


def entries(**counts):
    """Return entries of endpoints, as many in each failure domain as given."""
    return [
        SimpleNamespace(endpoint_id=f"{domain}-{n}", failure_domain=domain)
        for domain, count in counts.items()
        for n in range(count)
    ]


class ChooseSamplesTest(TestCase):
    def test_less_than_half_of_a_domain_s_endpoints_are_sampled_unless_it_has_only_few(self):
        samples = choose_samples(entries(a=1, b=3, c=8, d=40), lambda _domain: True)
        counts = {domain: len(listed) for domain, listed in samples.items()}
        self.assertThat(counts, Equals({"a": 1, "b": 1, "c": 2, "d": 3}))

    def test_all_processes_sample_the_same_endpoints(self):
        listed = entries(a=9, b=9)
        samples = choose_samples(listed, lambda domain: domain == "b")
        self.assertThat(choose_samples(listed[::-1], lambda d: d == "b"), Equals(samples))
        self.assertThat(list(samples), Equals(["b"]))


class SampleHoldersTest(TestCase):
    """Probes that take a time and find a state, by endpoint."""

    def sample(self, probes):
        """Return the states, the states reported before, and the seconds that it took."""

        def probe(entry):
            took_s, state = probes[entry.endpoint_id]
            eventlet.sleep(took_s)
            return state

        def scenario():
            reported, began_s = [], now_s()
            listed = [
                SimpleNamespace(endpoint_id=name, failure_domain=name.partition("-")[0])
                for name in probes
            ]
            states = sample_holders(
                listed, lambda _domain: True, reported.append, probe=probe, now=now_s
            )
            return states, reported, round(now_s() - began_s, 1)

        return run_in_virtual_time(scenario)

    def test_a_domain_that_is_free_is_reported_before_the_others_are_known(self):
        states, reported, _took_s = self.sample({"a-1": (0.1, FREE), "b-1": (2.6, HELD)})
        self.assertThat(reported[0], Equals({"a": FREE}))
        self.assertThat(states["a"], Equals(FREE))

    def test_idle_endpoints_are_free_once_the_holder_of_busy_ones_is_known_to_be_lost(self):
        states, _reported, took_s = self.sample({"a-1": (0.9, FREE), "b-1": (2.6, FREE)})
        self.assertThat((states, took_s), Equals(({"a": FREE, "b": FREE}, 1.0)))

    def test_idle_endpoints_are_waited_for_if_a_live_holder_was_found(self):
        states, _reported, took_s = self.sample(
            {"a-1": (0.9, FREE), "b-1": (2.4, HELD), "c-1": (0.3, HELD)}
        )
        self.assertThat((states, took_s), Equals(({"a": FREE, "b": HELD, "c": HELD}, 2.4)))

    def test_unreached_endpoints_show_nothing(self):
        states, reported, _took_s = self.sample({"a-1": (0.2, UNREACHED)})
        self.assertThat((states, reported), Equals(({"a": UNREACHED}, [])))


class HolderSamplingTest(TestCase):
    def play(self, states, *, reached, for_s=20.0):
        """Search each 0.1 s; return the seconds at which samplings began."""

        def scenario():
            began, start_s = [], now_s()

            def sample(_is_wanted, _on_free):
                began.append(round(now_s() - start_s, 1))
                eventlet.sleep(0.5)
                return dict(states)

            sampling = HolderSampling(SimpleNamespace(now=now_s), sample)
            while now_s() < start_s + for_s:
                sampling.search(reached, lambda _states: None)
                eventlet.sleep(0.1)
            return began

        return run_in_virtual_time(scenario)

    def test_samplings_get_rare_while_a_live_holder_is_found(self):
        began = self.play({"a": HELD}, reached=2)
        pauses = [later - earlier for earlier, later in zip(began, began[1:], strict=False)]
        self.assertThat(began[0], Equals(0.0))
        self.assertTrue(all(pause >= 4.4 for pause in pauses), pauses)
        self.assertTrue(len(began) <= 3, began)

    def test_a_process_that_reaches_no_other_waits_first(self):
        self.assertTrue(self.play({"a": HELD}, reached=0, for_s=1.9) == [])
        self.assertThat(self.play({"a": HELD}, reached=0, for_s=3.0), Equals([2.0]))
