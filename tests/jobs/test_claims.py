from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.jobs._claims import Claims
from burdocklug.kernel import BurdocklugError
from burdocklug.store import MemoryStore

KEY = "20261204T053000Z-vat-17"
OWNER = "127.0.0.1:7000~00000000000000ff0123abcd"
OTHER = "127.0.0.1:7001~00000000000000ff0123abce"


class PendingClaimTest(TestCase):
    """A claim whose write got no answer can be acquired after a status request has read it.

    If the read cached it as a claim in force, no process would start the job.
    """

    def setUp(self):
        super().setUp()
        self.store = MemoryStore(now=lambda: 0.0)
        self.claims = self.claims_of(OWNER)

    def claims_of(self, owner):
        return Claims(self.store, owner, window_s=60.0, now=lambda: 0.0)

    def write_claim_without_answer(self):
        # Another claim first, so that its lease is reused and only the write goes unanswered.
        self.claims.acquire("20261204T053000Z-first", b"d")
        self.store.lose_next_responses = 1
        put = self.store.put

        def put_then_go_down(*args, **kwargs):
            try:
                return put(*args, **kwargs)
            finally:
                self.store.down = True

        self.store.put = put_then_go_down
        self.assertRaises(BurdocklugError, self.claims.acquire, KEY, b"d")
        self.store.put = put
        self.store.down = False

    def test_claim_is_acquired_after_a_status_read(self):
        self.write_claim_without_answer()
        self.assertThat(self.claims.read(KEY).owner, Equals(OWNER))
        self.assertThat(self.claims.acquire(KEY, b"d")[1], Equals(True))

    def test_claim_is_acquired_only_once(self):
        self.write_claim_without_answer()
        self.claims.read(KEY)
        results = [self.claims.acquire(KEY, b"d")[1] for _ in range(3)]
        self.assertThat(results, Equals([True, False, False]))

    def test_a_pending_claim_that_another_process_acquired_is_not_new(self):
        self.store.down = True
        self.assertRaises(BurdocklugError, self.claims.acquire, KEY, b"d")
        self.store.down = False
        self.assertTrue(self.claims_of(OTHER).acquire(KEY, b"d")[1])
        self.assertThat(self.claims.read(KEY).owner, Equals(OTHER))
        self.assertThat(self.claims.acquire(KEY, b"d")[1], Equals(False))

    def test_a_claim_written_after_a_read_found_none_is_acquired(self):
        self.store.down = True
        self.assertRaises(BurdocklugError, self.claims.acquire, KEY, b"d")
        self.store.down = False
        self.assertThat(self.claims.read(KEY), Equals(None))
        self.assertThat(self.claims.acquire(KEY, b"d")[1], Equals(True))
