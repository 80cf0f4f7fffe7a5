from testtools import TestCase
from testtools.matchers import Equals

from burdocklug.jobs._keys import CallerKey, SessionKey, mint_session, parse_key
from burdocklug.kernel import BurdocklugError, ErrorKind
from tests.scenarios import with_scenarios

INCARNATION = "127.0.0.1:8003~18f2a3b4c5d6e7f80011"


class ParseKeyTest(TestCase):
    def test_a_new_session_key_contains_its_owner(self):
        session = mint_session(INCARNATION)
        key = parse_key(f"{session}~12")
        self.assertThat(key, Equals(SessionKey(INCARNATION, session, 12)))
        self.assertThat(key.text, Equals(f"{session}~12"))

    def test_a_caller_key_contains_its_time(self):
        self.assertThat(
            parse_key("19700101T000100Z-a"), Equals(CallerKey("19700101T000100Z-a", 60))
        )


@with_scenarios
class MalformedKeyTest(TestCase):
    scenarios = [
        ("empty", {"text": ""}),
        ("word", {"text": "job-17"}),
        ("sequence zero", {"text": f"{INCARNATION}~00aa11bb22cc~0"}),
        ("sequence past 2**53", {"text": f"{INCARNATION}~00aa11bb22cc~{2**53}"}),
        ("no sequence", {"text": f"{INCARNATION}~00aa11bb22cc"}),
        ("month 13", {"text": "20261301T000000Z-a"}),
        ("no text after the time", {"text": "20261201T000000Z-"}),
        ("newline", {"text": "20261201T000000Z-a\n"}),
        ("other digits", {"text": "٢٠٢٦1201T000000Z-a"}),
        ("very long", {"text": "x" * 100_000}),
    ]

    def test_is_refused_with_the_path_of_the_header(self):
        exc = self.assertRaises(BurdocklugError, parse_key, self.text)
        self.assertThat(exc.kind, Equals(ErrorKind.BAD_REQUEST))
        self.assertThat(exc.path, Equals("header Idempotency-Key"))
        self.assertTrue(len(exc.message) < 200)
