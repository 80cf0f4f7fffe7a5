from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.peers._dedupe import RequestWindow, Verdict

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["admit", "expired", "finish", "mark", "ask"]),
        st.integers(min_value=1, max_value=30),
    ),
    max_size=200,
)


class RequestWindowPropertyTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(STEPS, st.integers(min_value=1, max_value=8), st.integers(min_value=0, max_value=60))
    def test_each_request_is_handled_at_most_once_in_bounded_memory(
        self, steps, max_requests, max_reply_bytes
    ):
        window = RequestWindow(max_requests=max_requests, max_reply_bytes=max_reply_bytes)
        handled, refused_for_good = [], set()
        for action, correlation in steps:
            if action in ("admit", "expired"):
                verdict = window.admit(correlation, expired=action == "expired")
                if verdict is Verdict.HANDLE:
                    handled.append(correlation)
                elif verdict is Verdict.EXPIRED:
                    refused_for_good.add(correlation)
            elif action == "finish" and correlation in handled:
                window.finish(correlation, b"reply %d" % correlation)
            elif action == "mark":
                window.raise_low_water(correlation)
            elif window.lookup(correlation) is Verdict.REPLIED:
                self.assertThat(window.reply(correlation), Equals(b"reply %d" % correlation))
            self.assertTrue(len(window) <= max_requests)
            self.assertTrue(window.reply_bytes <= max_reply_bytes)
        self.assertThat(sorted(handled), Equals(sorted(set(handled))))
        self.assertThat(refused_for_good.intersection(handled), Equals(set()))


VERDICTS = [
    ([], Verdict.HANDLE),
    (["admit"], Verdict.IN_PROGRESS),
    (["admit", "finish"], Verdict.REPLIED),
    (["expired"], Verdict.EXPIRED),
    (["mark"], Verdict.PASSED),
    (["admit", "mark", "finish"], Verdict.PASSED),
    (["admit", "finish", "other"], Verdict.REPLY_LOST),
]


class RequestWindowTest(TestCase):
    def test_verdict_on_a_request(self):
        for steps, expected in VERDICTS:
            window = RequestWindow(max_reply_bytes=5)
            for step in steps:
                self.do(window, step)
            verdict = window.admit(3, expired=False)
            self.assertThat(verdict, Equals(expected), f"after {steps}")

    def do(self, window, step):
        if step in ("admit", "expired"):
            window.admit(3, expired=step == "expired")
        elif step == "finish":
            window.finish(3, b"four")
        elif step == "mark":
            window.raise_low_water(4)
        else:
            window.admit(9, expired=False)
            window.finish(9, b"four")
