import eventlet

eventlet.monkey_patch()

import urllib3  # noqa: E402
from testtools import TestCase  # noqa: E402
from testtools.matchers import Equals, Is  # noqa: E402

from burdocklug.store import HttpStore, StoreUnavailable, StoreUncertain  # noqa: E402
from standins.launch import launch  # noqa: E402
from standins.ports import free_address  # noqa: E402
from tests.store.store_contract import PURPOSE, StoreContract  # noqa: E402

TIMEOUT_S = 0.5


class HttpHarness:
    """Implements the methods of the contract with a stand-in service."""

    def make_store(self):
        self.address = free_address()
        url = f"http://{self.address}/health"
        self.child = launch("standins.store", "--listen", self.address, health=url)
        self.addCleanup(self.child.stop)
        return HttpStore([self.address], timeout_s=TIMEOUT_S)

    def control(self, method, path, **body):
        response = urllib3.request(method, f"http://{self.address}{path}", json=body or None)
        self.assertThat(response.status, Equals(200))
        return response.json()

    def set_faults(self, *, stale=None, drop_calls=None, **faults):
        if stale is not None:
            faults["stale_versions"] = int(stale)
        if drop_calls is not None:
            faults["drop_calls"] = bool(drop_calls)
        self.control("POST", "/faults", **faults)

    def count_calls(self):
        return self.control("GET", "/record")["calls"]["test"]

    def set_hosts(self, live, leaving):
        self.control("POST", "/hosts", live=live, leaving=leaving)


class HttpStoreTest(HttpHarness, StoreContract, TestCase):
    def test_stale_reads_by_age(self):
        self.write(put=b"1", expected_version=0)
        self.set_faults(stale_s=60.0)
        self.assertThat(self.store.get("k", **PURPOSE), Is(None))
        self.assertThat(self.store.watch("k", after_version=0, timeout_s=0.1, **PURPOSE), Is(None))

    def test_lagging_host_list(self):
        self.control("POST", "/hosts", live=["10.0.0.1"], leaving=[], lag_s=0.3)
        self.assertThat(self.store.hosts(**PURPOSE).live, Equals(frozenset()))
        eventlet.sleep(0.5)
        self.assertThat(self.store.hosts(**PURPOSE).live, Equals(frozenset({"10.0.0.1"})))

    def test_slow_store(self):
        self.present = self.write(put=b"1", expected_version=0)
        self.lease = self.store.grant_lease(60, **PURPOSE)
        self.set_faults(slow_s=TIMEOUT_S * 4)
        for operation, call in self.calls():
            is_read = operation in ("get", "watch", "hosts")
            if operation != "watch":  # a watch adds its own timeout to that of the client
                self.assertRaises(StoreUnavailable if is_read else StoreUncertain, call)

    def test_slow_write_can_land_after_it_was_given_up(self):
        self.set_faults(slow_s=TIMEOUT_S * 2)
        self.assertRaises(StoreUncertain, self.write, put=b"1", expected_version=0)
        self.set_faults(slow_s=0)
        self.assertThat(self.store.get("k", **PURPOSE), Is(None))
        eventlet.sleep(TIMEOUT_S * 3)
        self.assertThat(self.store.get("k", **PURPOSE).value, Equals(b"1"))

    def test_garbage_answers(self):
        self.present = self.write(put=b"1", expected_version=0)
        self.lease = self.store.grant_lease(60, **PURPOSE)
        self.set_faults(garbage=True)
        for operation, call in self.calls()[:4]:
            self.assertRaises(StoreUncertain if operation == "put" else StoreUnavailable, call)
        self.set_faults(garbage=False)
        self.assertThat(self.store.get("k", **PURPOSE).value, Equals(b"2"))

    def test_dead_watch_is_given_up_after_its_time(self):
        self.set_faults(watch_dead=True)
        waiting = eventlet.spawn(self.store.watch, "k", after_version=0, timeout_s=0.2, **PURPOSE)
        self.write(put=b"1", expected_version=0)
        self.assertRaises(StoreUnavailable, waiting.wait)

    def test_killed_store(self):
        self.write(put=b"1", expected_version=0)
        self.child.kill()
        exc = self.assertRaises(StoreUnavailable, self.store.get, "k", **PURPOSE)
        self.assertIn(self.address, exc.message)
        # A refused connection certainly carried no call, so the write is not uncertain.
        call = dict(put=b"1", expected_version=0)
        self.assertRaises(StoreUnavailable, self.write, **call)

    def test_frozen_store(self):
        self.write(put=b"1", expected_version=0)
        self.child.pause()
        self.assertRaises(StoreUnavailable, self.store.get, "k", **PURPOSE)
        self.assertRaises(StoreUncertain, self.write, put=b"2", expected_version=1)
        self.child.resume()

    def test_concurrent_watches_are_counted(self):
        waiting = [
            eventlet.spawn(self.store.watch, f"k{n}", after_version=0, timeout_s=0.3, **PURPOSE)
            for n in range(5)
        ]
        for thread in waiting:
            thread.wait()
        record = self.control("GET", "/record")
        self.assertThat((record["watches"], record["watches_max"]), Equals((0, 5)))
        self.assertThat(sum(s["total"] for s in record["per_second"]), Equals(5))


class SeveralAddressesTest(HttpHarness, StoreContract, TestCase):
    """The first address is dead: reads fail over to the second, and later writes use it."""

    def make_store(self):
        store = super().make_store()
        store.close()
        store = HttpStore([free_address(), self.address], timeout_s=TIMEOUT_S)
        call = dict(expected_version=0, **PURPOSE)
        self.assertRaises(StoreUnavailable, store.put, "never", b"1", **call)
        self.assertThat(store.get("never", **PURPOSE), Is(None))
        self.control("DELETE", "/record")
        return store

    def test_writes_alternate_between_a_slow_and_a_dead_address(self):
        self.set_faults(slow_s=TIMEOUT_S * 4)
        for error in (StoreUncertain, StoreUnavailable, StoreUncertain, StoreUnavailable):
            self.assertRaises(error, self.store.grant_lease, 5, **PURPOSE)


class SilentLinkTest(HttpHarness, TestCase):
    """Open connections stay silent; the client must use new ones."""

    def setUp(self):
        super().setUp()
        self.make_store()
        self.listen, self.link_control = free_address(), free_address()
        args = ("--listen", self.listen, "--to", self.address, "--control", self.link_control)
        link = launch("standins.link", *args, health=f"http://{self.link_control}/health")
        self.addCleanup(link.stop)
        self.now_s = 0.0
        self.store = HttpStore([self.listen], timeout_s=TIMEOUT_S, now=lambda: self.now_s)

    def write(self, *, put, expected_version):
        return self.store.put("k", put, expected_version=expected_version, **PURPOSE)

    def set_link(self, **body):
        urllib3.request("POST", f"http://{self.link_control}/mode", json=body)

    def open_connections(self, count):
        waiting = [
            eventlet.spawn(self.store.watch, f"k{n}", after_version=0, timeout_s=0.2, **PURPOSE)
            for n in range(count)
        ]
        for thread in waiting:
            thread.wait()

    def test_one_timeout_retires_the_silent_siblings(self):
        self.open_connections(5)
        self.set_link(mode="silent", scope="existing")
        self.assertRaises(StoreUnavailable, self.store.get, "k", **PURPOSE)
        threads = [eventlet.spawn(self.store.get, f"k{n}", **PURPOSE) for n in range(5)]
        for thread in threads:
            self.assertThat(thread.wait(), Is(None))

    def test_cut_link(self):
        self.open_connections(1)
        self.set_link(mode="cut")
        self.assertRaises(StoreUnavailable, self.store.get, "k", **PURPOSE)
        self.assertRaises(StoreUnavailable, self.write, put=b"1", expected_version=0)
        self.set_link(mode="forward")
        self.assertThat(self.store.get("k", **PURPOSE), Is(None))

    def test_write_whose_answer_is_silenced_is_uncertain_and_landed(self):
        self.open_connections(1)
        self.set_link(mode="silent", scope="existing", direction="to_client")
        self.assertRaises(StoreUncertain, self.write, put=b"1", expected_version=0)
        self.assertThat(self.store.get("k", **PURPOSE).value, Equals(b"1"))

    def test_write_after_a_pause_uses_no_old_connection(self):
        self.open_connections(5)
        self.set_link(mode="silent", scope="existing")
        self.now_s += 60.0
        self.write(put=b"1", expected_version=0)

    def test_watch_under_way_survives_the_retirement_of_its_siblings(self):
        waiting = eventlet.spawn(self.store.watch, "k", after_version=0, timeout_s=5, **PURPOSE)
        eventlet.sleep(0.1)
        self.now_s += 60.0
        written = self.write(put=b"1", expected_version=0)
        self.assertThat(waiting.wait(), Equals(written))
