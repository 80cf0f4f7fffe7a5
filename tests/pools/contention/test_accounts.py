from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from burdocklug.pools.contention import Accounts
from burdocklug.pools.contention._accounts import DECAY_S, MAX_CLASSES
from burdocklug.pools.scheduling._jobs import make_job
from tests.pools.builders import spec, step
from tests.pools.contention.jobs import rule

NOW_S = 100.0


class AccountsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.accounts = Accounts()
        self.count = 0

    def add(self, *, queue="checks", domain="north", served=True, size=1, now_s=NOW_S):
        self.count += 1
        job = make_job(
            spec(f"j{self.count}", step(size), rule=rule(queue)), received_s=now_s, wait_s=1.5
        )
        job.caller_domain = domain
        self.accounts.note_asked(job, now_s)
        note = self.accounts.note_served if served else self.accounts.note_refused
        note(job, now_s)
        return job

    def add_many(self, count, **options):
        return [self.add(**options) for _ in range(count)]

    def test_nothing_is_underserved_while_nothing_is_refused(self):
        self.add_many(20)
        self.assertThat(self.accounts.underserved(NOW_S), Equals(frozenset()))

    def test_a_queue_that_is_refused_more_often_than_the_whole_is_underserved(self):
        self.add_many(40, queue="quick")
        self.add_many(10, queue="long", domain="south", served=False)
        found = self.accounts.underserved(NOW_S)
        self.assertThat(found, Equals({("queue", "long"), ("domain", "south")}))

    def test_classes_that_pay_alike_are_not_underserved(self):
        for queue in ("quick", "long"):
            self.add_many(10, queue=queue)
            self.add_many(10, queue=queue, served=False)
        self.assertThat(self.accounts.underserved(NOW_S), Equals(frozenset()))

    def test_the_largest_jobs_of_a_queue_are_a_class_of_its_own(self):
        for size in range(1, 61):
            self.add(size=37 * size % 61, served=True)
        self.add_many(6, size=60, served=False)
        self.assertIn(("size", "checks", "9"), self.accounts.underserved(NOW_S))

    def test_accounts_decay_within_seconds(self):
        self.add_many(40, queue="quick")
        self.add_many(10, queue="long", served=False)
        later_s = NOW_S + 6 * DECAY_S
        self.assertThat(self.accounts.underserved(later_s), Equals(frozenset()))
        self.add_many(10, queue="long", now_s=later_s)
        self.assertThat(self.accounts.shares(later_s)["queue/long"], GreaterThan(0.9))

    def test_a_started_job_that_is_given_up_counts_as_refused_only(self):
        jobs = self.add_many(8)
        for job in jobs:
            self.accounts.note_refused(job, NOW_S)
        self.assertThat(self.accounts.shares(NOW_S)["queue/checks"], Equals(0.0))

    def test_the_number_of_classes_is_bounded(self):
        for number in range(MAX_CLASSES + 100):
            self.add(domain=f"d{number}")
        self.assertThat(len(self.accounts._counts), LessThan(MAX_CLASSES + 1))

    def test_classes_that_have_decayed_make_room_for_new_ones(self):
        for number in range(MAX_CLASSES):
            self.add(domain=f"d{number}")
        later_s = NOW_S + 10 * DECAY_S
        self.add_many(10, domain="new", now_s=later_s)
        self.assertThat(self.accounts.shares(later_s)["domain/new"], Equals(1.0))

    def test_the_load_follows_what_is_asked(self):
        for number in range(200):
            self.add(size=2, now_s=NOW_S + number / 100)
        slots_needed = 100 * 2 * 0.2
        load = self.accounts.asked_load(NOW_S + 2.0)
        self.assertThat(load[0], GreaterThan(0.75 * slots_needed))
        self.assertThat(load[0], LessThan(1.1 * slots_needed))
        self.assertThat(self.accounts.asked_load(NOW_S + 8.0)[0], LessThan(1.0))
