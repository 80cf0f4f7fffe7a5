"""Short runs of the soak: each seed that ever found something, with its cause, and two kinds."""

from testtools import TestCase
from testtools.matchers import Equals

from soak import find_violations, run_seed
from soak._faults import fault_kinds
from tests.scenarios import with_scenarios

DURATION_S = 9.0
KINDS_OF_FIRST_SEEDS = sorted(set(fault_kinds.names()) - {"evacuate", "unruly_clients"})


@with_scenarios
class SeedTest(TestCase):
    scenarios = [
        # Orders that reached the next life of a worker were started elsewhere beside it. The plan
        # follows from the kinds that there were.
        ("2, workers begin anew", {"seed": 2, "kinds": KINDS_OF_FIRST_SEEDS}),
        # Kinds that nothing else plays with real processes.
        ("all killed", {"seed": 1, "kinds": ["kill_all"]}),
        ("silent between processes", {"seed": 1, "kinds": ["peers_link_silent"]}),
        ("unruly clients", {"seed": 1, "kinds": ["unruly_clients", "kill", "stop"]}),
        ("evacuations", {"seed": 1, "kinds": ["evacuate", "kill", "store_silent", "compact"]}),
    ]

    def test_every_promise_is_kept(self):
        lines = []
        evidence = run_seed(self.seed, duration_s=DURATION_S, kinds=self.kinds, say=lines.append)
        self.assertThat(list(find_violations(evidence)), Equals([]), "\n".join(lines))
        self.assertThat(len(evidence.jobs) > 0, Equals(True))
