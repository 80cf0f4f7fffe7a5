"""A task starts at most once even if processes handling its job are frozen, killed, restarted."""

import datetime

import eventlet
from testtools.matchers import Equals, MatchesAny

from standins.fleet import call_json
from tests.daemon.fleets import FleetTestCase

MORE_THAN_SLOTS = 100  # four endpoints with eight slots each


def caller_key(text):
    now = datetime.datetime.now(datetime.UTC)
    return f"{now:%Y%m%dT%H%M%SZ}-{text}"


class OwnershipTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        self.owner, self.near, self.far = "north-1", "north-2", "south-1"
        self.key = f"{self.open_session(self.owner)}~1"

    def submit_everywhere(self, key, **more):
        """Submit one key to every process concurrently and return the answers."""
        pool = eventlet.GreenPool()
        names = self.fleet.names * 3
        return list(pool.imap(lambda name: self.submit(name, key, **more), names))

    def test_the_same_key_at_all_processes_at_once_starts_once(self):
        answers = self.submit_everywhere(self.key)
        self.assertThat({a["state"] for a in answers}, Equals({"complete"}))
        self.assert_started_once(self.key)

    def test_a_caller_key_at_all_processes_at_once_starts_once(self):
        key = caller_key("everywhere")
        answers = self.submit_everywhere(key)
        self.assertThat({a["state"] for a in answers}, Equals({"complete"}))
        self.assert_started_once(key)

    def test_a_caller_key_whose_claim_response_is_lost_starts_at_most_once(self):
        key = caller_key("lost")
        call_json("POST", f"http://{self.fleet.store}/faults", {"lose_answers": 1})
        self.addCleanup(call_json, "DELETE", f"http://{self.fleet.store}/faults")
        answers = [self.submit(name, key) for name in self.fleet.names]
        for answer in answers:
            if answer["state"] != "complete":
                self.assertThat(answer["error"]["ran"], Equals("unknown"))
        self.assertTrue(max(self.starts_of(key).values(), default=0) <= 1)

    def test_a_caller_key_while_the_store_is_down_is_not_reported_as_not_run(self):
        key = caller_key("down")
        call_json("POST", f"http://{self.fleet.store}/faults", {"down": True})
        answer = self.submit(self.near, key)
        call_json("DELETE", f"http://{self.fleet.store}/faults")
        self.assertThat(answer["error"]["ran"], Equals("unknown"))

        def completes():
            return self.submit(self.near, key)["state"] == "complete"

        self.wait_for(completes)
        self.assert_started_once(key)

    def freeze_until_declared_dead(self, **job):
        """Freeze the owner until all others list it as dead, then resume it.

        Before it resumes, the others have to answer a submission of its key with an error that
        reports `ran` as unknown.
        """
        others = [name for name in self.fleet.names if name != self.owner]
        incarnation = self.fleet.state(self.owner)["peers"]["incarnation"]
        self.fleet.children[self.owner].pause()
        try:
            self.wait_for(lambda: all(self.lists_as_dead(name, incarnation) for name in others))
            pool = eventlet.GreenPool()
            answers = list(
                pool.imap(lambda name: self.submit_for_error(name, self.key, **job), others)
            )
        finally:
            self.fleet.children[self.owner].resume()
        self.assertThat({ran for _kind, ran in answers}, Equals({"unknown"}))

    def completes(self, **job):
        return lambda: self.submit(self.far, self.key, **job)["state"] == "complete"

    def test_a_frozen_owner_that_wakes_has_started_once(self):
        job = {"run_s": 0.3, "wait_s": 0}
        self.submit(self.owner, self.key, **job)
        self.wait_for(lambda: len(self.starts_of(self.key)) == 2)
        self.freeze_until_declared_dead(**job)
        self.wait_for(self.completes(**job))
        self.assert_started_once(self.key)

    def test_an_owner_frozen_with_waiting_tasks_starts_them_once_after_it_wakes(self):
        job = {"run_s": 0.3, "wait_s": 0, "tasks": MORE_THAN_SLOTS}
        self.submit(self.owner, self.key, **job)
        self.wait_for(lambda: self.starts_of(self.key))
        self.freeze_until_declared_dead(**job)
        self.wait_for(self.completes(**job))
        self.assert_started_once(self.key, MORE_THAN_SLOTS)

    def test_no_other_process_takes_over_the_keys_of_a_killed_owner(self):
        self.submit(self.owner, self.key, run_s=1.0, wait_s=0)
        self.fleet.children[self.owner].kill()
        pool = eventlet.GreenPool()
        survivors = (self.near, self.far)
        answers = list(pool.imap(lambda name: self.submit(name, self.key, run_s=1.0), survivors))
        self.fleet.start_process(self.owner)
        self.wait_ready()
        answers += [self.submit(name, self.key, run_s=1.0) for name in self.fleet.names]
        self.assertThat({a["error"]["ran"] for a in answers}, Equals({"unknown"}))
        self.assertTrue(max(self.starts_of(self.key).values(), default=0) <= 1)

    def test_a_caller_key_whose_owner_is_killed_while_the_store_is_down_starts_at_most_once(self):
        key = caller_key("down-and-killed")
        self.submit(self.owner, key, run_s=1.0, wait_s=0)
        self.fleet.set_store_faults(down=True)
        self.fleet.children[self.owner].kill()
        down = [self.submit_for_error(name, key, run_s=1.0) for name in (self.near, self.far)]
        self.fleet.set_store_faults()
        self.assertThat(down, Equals([("claim_uncertain", "unknown")] * 2))

        def reports_owner_lost():
            return self.submit_for_error(self.near, key, run_s=1.0) == ("owner_lost", "unknown")

        self.wait_for(reports_owner_lost)
        self.assertTrue(max(self.starts_of(key).values(), default=0) <= 1)

    def test_another_body_under_the_key_starts_nothing(self):
        self.submit(self.owner, self.key)
        answers = [self.submit(name, self.key, value=2) for name in self.fleet.names]
        self.assertThat({a["error"]["kind"] for a in answers}, Equals({"key_conflict"}))
        self.assert_started_once(self.key)

    def test_cancelled_from_another_process(self):
        self.submit(self.owner, self.key, run_s=5.0, wait_s=0)
        answer = self.http("DELETE", self.far, f"/v1/jobs/{self.key}").json()
        self.assertThat(answer["error"]["kind"], Equals("cancelled"))
        self.assertThat(answer["error"]["ran"], MatchesAny(Equals("unknown"), Equals("no")))
        again = [self.submit(name, self.key, run_s=5.0) for name in self.fleet.names]
        self.assertThat({a["error"]["kind"] for a in again}, Equals({"cancelled"}))
        self.assertTrue(max(self.starts_of(self.key).values(), default=0) <= 1)
