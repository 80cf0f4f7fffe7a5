from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.jobs._claims import Claims
from burdocklug.kernel import BurdocklugError
from burdocklug.store import MemoryStore

KEY = "20261204T053000Z-vat-17"
OWNER = "127.0.0.1:7000~00000000000000ff0123abcd"
OTHER = "127.0.0.1:7001~00000000000000ff0123abce"


class PendingClaimTest(TestCase):
    """A claim whose write was uncertain is still this process's own when it is read first."""

    def setUp(self):
        super().setUp()
        self.store = MemoryStore(now=lambda: 0.0)
        self.claims = self.claims_of(OWNER)

    def claims_of(self, owner):
        return Claims(self.store, owner, window_s=60.0, now=lambda: 0.0)

    def write_without_answer(self):
        self.claims.win("20261204T053000Z-first", b"d")  # has the lease granted
        self.store.lose_next_answers = 1
        put = self.store.put

        def fail_after(*args, **more):
            try:
                return put(*args, **more)
            finally:
                self.store.down = True

        self.store.put = fail_after
        self.assertRaises(BurdocklugError, self.claims.win, KEY, b"d")
        self.store.put = put
        self.store.down = False

    def test_it_is_won_after_a_status_read(self):
        self.write_without_answer()
        self.assertThat(self.claims.read(KEY).owner, Equals(OWNER))
        self.assertThat(self.claims.win(KEY, b"d")[1], Equals(True))

    def test_it_is_won_only_once(self):
        self.write_without_answer()
        self.claims.read(KEY)
        won = [self.claims.win(KEY, b"d")[1] for _ in range(3)]
        self.assertThat(won, Equals([True, False, False]))

    def test_a_pending_claim_that_another_process_won_is_not_ours(self):
        self.store.down = True
        self.assertRaises(BurdocklugError, self.claims.win, KEY, b"d")
        self.store.down = False
        self.assertTrue(self.claims_of(OTHER).win(KEY, b"d")[1])
        self.assertThat(self.claims.read(KEY).owner, Equals(OTHER))
        self.assertThat(self.claims.win(KEY, b"d")[1], Equals(False))

    def test_a_write_that_lands_after_a_read_that_found_nothing_is_won(self):
        self.store.down = True
        self.assertRaises(BurdocklugError, self.claims.win, KEY, b"d")
        self.store.down = False
        self.assertThat(self.claims.read(KEY), Equals(None))
        self.assertThat(self.claims.win(KEY, b"d")[1], Equals(True))
