import eventlet

eventlet.monkey_patch()

from testtools import TestCase  # noqa: E402

from burdocklug.store import BudgetedStore, HostList, MemoryStore  # noqa: E402
from tests.store.store_contract import StoreContract  # noqa: E402


class MemoryStoreTest(StoreContract, TestCase):
    def make_store(self):
        self.memory = MemoryStore()
        return self.memory

    def set_faults(self, *, down=None, lose_answers=None, drop_calls=None, stale=None):
        if down is not None:
            self.memory.down = down
        if lose_answers is not None:
            self.memory.lose_next_responses = lose_answers
        if drop_calls is not None:
            self.memory.lose_next_calls = drop_calls
        if stale is not None:
            self.memory.stale = stale

    def count_calls(self):
        return {
            operation: n
            for (purpose, operation), n in self.memory.calls.items()
            if purpose == "test"
        }

    def set_hosts(self, live, leaving):
        version = self.memory.host_list.version + 1
        self.memory.host_list = HostList(version, frozenset(live), frozenset(leaving))


class BudgetedMemoryStoreTest(MemoryStoreTest):
    """The wrapper meets the contract within its budget and while the breaker is closed."""

    def make_store(self):
        return BudgetedStore(super().make_store(), calls_per_s=1000.0)

    def set_faults(self, **faults):
        super().set_faults(**faults)
        if faults.get("down") is False:
            eventlet.sleep(0.5)  # longer than the first backoff of the breaker
