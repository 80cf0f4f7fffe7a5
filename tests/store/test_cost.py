"""CPU cost of a store call, in function calls, a count that other load does not affect."""

import sys

from testtools import TestCase
from testtools.matchers import LessThan

from burdocklug.store import BudgetedStore, HttpStore
from standins.launch import launch
from standins.ports import free_address

CONTROL_SHARE = 0.018  # share of a core that a process may use for control work
CALLS_PER_S = 20.0  # a process's share of the default budget in a fleet of 50
FUNCTION_CALL_S = 1e-6  # CPU time of a Python function call, body included
CALLS = 200


class CallCounter:
    """Context manager that counts function calls, those of C functions included."""

    def __init__(self):
        self.count = 0

    def __enter__(self):
        sys.setprofile(self._count_event)
        return self

    def __exit__(self, *_):
        sys.setprofile(None)

    def _count_event(self, _frame, event, _arg):
        if event in ("call", "c_call"):
            self.count += 1


class CostTest(TestCase):
    def test_a_full_budget_of_calls_fits_into_the_control_share(self):
        address = free_address()
        url = f"http://{address}/health"
        self.addCleanup(launch("standins.store", "--listen", address, health=url).stop)
        store = BudgetedStore(HttpStore([address]), calls_per_s=1e6)
        store.put("k", b"x" * 1000, expected_version=0, purpose="test")
        store.get("k", purpose="test")
        with CallCounter() as counter:
            for _ in range(CALLS):
                store.get("k", purpose="test")
        cost_s = counter.count / CALLS * FUNCTION_CALL_S
        self.assertThat(cost_s * CALLS_PER_S, LessThan(CONTROL_SHARE))
