from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.pools.contention import Accounts, Offer, Supply, Verdict, plan, verdict
from burdocklug.pools.contention._refusals import RecentRefusals
from tests.pools.contention.jobs import NOW_S, rule, waiting_job

FULL = Supply(NOW_S, 4, [NOW_S + 9.0] * 4)  # four tasks fit now, others never


def ids(jobs):
    return [job.job_id for job in jobs]


class PlanTest(TestCase):
    def plan(self, jobs, supply=FULL, accounts=None):
        return plan(jobs, NOW_S, accounts or Accounts(), supply)

    def test_jobs_that_all_fit_keep_the_order_of_priority_and_latest_start(self):
        jobs = [
            waiting_job("low", queue=rule(priority=5)),
            waiting_job("long", estimate_s=0.9),
            waiting_job("short", estimate_s=0.06),
        ]
        self.assertThat(
            ids(plan(jobs, NOW_S, Accounts(), None).jobs), Equals(["short", "long", "low"])
        )
        found = self.plan(jobs)
        self.assertThat(ids(found.jobs), Equals(["short", "long", "low"]))
        self.assertFalse(found.is_contended)

    def test_a_job_that_takes_the_room_of_several_gives_way(self):
        jobs = [waiting_job("wide", tasks=4, estimate_s=0.1)]
        jobs += [waiting_job(f"small{n}", estimate_s=0.2) for n in range(4)]
        found = self.plan(jobs)
        self.assertThat(ids(found.jobs)[-1], Equals("wide"))
        self.assertThat(list(found.displaced), Equals(["wide"]))
        self.assertThat((found.taken_jobs, found.by_rank[0].taken), Equals((4, 4)))

    def test_the_lowest_priority_gives_way_first(self):
        jobs = [waiting_job("urgent", tasks=4, queue=rule(priority=0))]
        jobs += [waiting_job(f"small{n}", queue=rule(priority=1)) for n in range(4)]
        self.assertThat(ids(self.plan(jobs).jobs)[0], Equals("urgent"))

    def test_a_started_job_never_gives_way(self):
        jobs = [waiting_job("wide", tasks=4)] + [waiting_job(f"small{n}") for n in range(4)]
        jobs[0].started = True
        self.assertNotIn("wide", self.plan(jobs).displaced)

    def test_a_job_of_an_underserved_class_gives_way_last(self):
        accounts = Accounts()
        for number in range(60):
            job = waiting_job(f"past{number}", queue=rule("quick" if number % 3 else "long"))
            accounts.note_asked(job, NOW_S)
            note = accounts.note_served if number % 3 else accounts.note_refused
            note(job, NOW_S)
        jobs = [waiting_job("wide", tasks=4, queue=rule("long", priority=2))]
        jobs += [waiting_job(f"small{n}", queue=rule("quick")) for n in range(4)]
        for job in jobs:
            accounts.note_asked(job, NOW_S)
        found = self.plan(jobs, accounts=accounts)
        self.assertNotIn("wide", found.displaced)
        self.assertThat(found.preferred, Equals({"wide"}))

    def test_a_job_that_returned_at_its_time_gives_way_after_new_ones_of_its_class(self):
        jobs = [waiting_job(f"j{n}", tasks=2) for n in range(3)]
        jobs[0].has_returned = True
        self.assertNotIn("j0", self.plan(jobs).displaced)

    def test_late_jobs_come_after_those_that_give_way(self):
        jobs = [waiting_job("late", received_s=NOW_S - 0.3)]
        jobs += [waiting_job(f"wide{n}", tasks=3) for n in range(2)]
        self.assertThat(ids(self.plan(jobs).jobs)[-1], Equals("late"))

    def test_every_job_is_in_the_order_once(self):
        jobs = [waiting_job(f"j{n}", tasks=1 + n % 3, estimate_s=0.05 * n) for n in range(40)]
        self.assertThat(sorted(ids(self.plan(jobs).jobs)), Equals(sorted(ids(jobs))))


class VerdictTest(TestCase):
    def setUp(self):
        super().setUp()
        self.job = waiting_job("wide", tasks=4, estimate_s=0.2)

    def offer(self, after_s, free=0):
        return Offer(NOW_S + after_s, NOW_S + after_s + 0.2, free)

    def contended(self, asked_load):
        others = [waiting_job(f"small{n}") for n in range(4)]
        supply = Supply(NOW_S, 0, [NOW_S + 0.05] * 4)
        found = plan([self.job, *others], NOW_S, Accounts(), supply)
        found.asked_load = {0: asked_load}
        self.assertIn("wide", found.displaced)
        return found

    def test_a_job_that_can_start_in_time_is_served(self):
        self.assertThat(verdict(self.job, self.offer(0.1), NOW_S), Equals(Verdict.SERVE))

    def test_a_late_job_waits_while_its_answer_is_useful(self):
        self.assertThat(verdict(self.job, self.offer(0.5), NOW_S), Equals(Verdict.WAIT))

    def test_a_job_that_ends_when_its_answer_is_useless_is_refused(self):
        self.assertThat(verdict(self.job, self.offer(1.3), NOW_S), Equals(Verdict.REFUSE))

    def test_a_started_job_is_not_refused(self):
        self.job.started = True
        self.assertThat(verdict(self.job, self.offer(1.3), NOW_S), Equals(Verdict.WAIT))

    def test_a_displaced_job_is_refused_if_others_need_the_room_until_its_last_start(self):
        found = verdict(self.job, self.offer(0.5), NOW_S, plan=self.contended(12.0))
        self.assertThat(found, Equals(Verdict.REFUSE))

    def test_a_displaced_job_waits_if_a_burst_has_passed(self):
        found = verdict(self.job, self.offer(0.5), NOW_S, plan=self.contended(0.0))
        self.assertThat(found, Equals(Verdict.WAIT))

    def test_a_job_whose_tasks_fit_now_is_not_refused_for_lack_of_room(self):
        found = verdict(self.job, self.offer(0.5, free=4), NOW_S, plan=self.contended(12.0))
        self.assertThat(found, Equals(Verdict.WAIT))

    def test_a_refusal_says_which_job_got_the_room(self):
        found = self.contended(12.0)
        row = RecentRefusals().add(self.job, "room_needed", NOW_S + 0.1, plan=found)
        self.assertThat(row["gave_way_to"][:5], Equals("small"))
        self.assertThat((row["reason"], row["age_s"]), Equals(("room_needed", 0.1)))
        self.assertThat(row["room_went_to"], Equals({"checks": 4}))
