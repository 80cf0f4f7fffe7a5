import zlib

from testtools import TestCase
from testtools.matchers import Contains, Equals, LessThan

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.tickets import (
    ConfigDecodeError,
    ConfigValue,
    decode_value,
    encode_value,
    value_digest,
)
from tests.tickets.builders import apply_all, endpoint_set, make_ticket, team
from tests.tickets.costs import target_value

MAX_TARGET_BYTES = 30_000


class CodecTest(TestCase):
    def test_values_survive_a_round_trip(self):
        tickets = [make_ticket(1, {"endpoints/s": endpoint_set(3), "team/a": None}), make_ticket(2)]
        for value in (ConfigValue(), apply_all(tickets), target_value()):
            again = decode_value(encode_value(value))
            self.assertThat(again, Equals(value))
            self.assertThat(encode_value(again), Equals(encode_value(value)))
            self.assertThat(value_digest(again), Equals(value_digest(value)))

    def test_only_versions_that_are_not_known_are_decoded(self):
        old = target_value()
        new = apply_all([make_ticket(501, {"team/team-1": team(9)})], old)
        found = decode_value(encode_value(new), known=old)
        self.assertThat(found, Equals(new))
        decoded = {n for n, v in found.objects.items() if v is not old.objects.get(n)}
        self.assertThat(decoded, Equals({"team/team-1"}))

    def test_size_at_the_target(self):
        raw = encode_value(target_value())
        self.assertThat(len(raw), LessThan(MAX_TARGET_BYTES))

    def test_too_large_a_value_names_the_sizes(self):
        value = apply_all([make_ticket(1, {"endpoints/s": endpoint_set(50), "team/a": team()})])
        size = len(encode_value(value))
        exc = self.assertRaises(BurdocklugError, encode_value, value, max_bytes=size - 1)
        self.assertThat(exc.kind, Equals(ErrorKind.TICKET_TOO_LARGE))
        self.assertThat(exc.message, Contains(f"{size} bytes, at most {size - 1}"))
        self.assertThat(exc.message, Contains("endpoints/s"))

    def test_other_bytes_are_refused(self):
        good = encode_value(apply_all([make_ticket(1)]))
        unknown_kind = b"\x01" + zlib.compress(b"\x93\x00\x90\x91\x94\xa3a/b\x01\xc4\x01x\xc0")
        bomb = b"\x01" + zlib.compress(bytes(9_000_000))
        for raw in (b"", b"\x02" + good[1:], good[:-3], b"\x01rest", unknown_kind, bomb):
            self.assertRaises(ConfigDecodeError, decode_value, raw)

    def test_the_digest_tells_versions_apart(self):
        values = [
            ConfigValue(),
            ConfigValue(floor=1),
            apply_all([make_ticket(1)]),
            apply_all([make_ticket(2)]),
            apply_all([make_ticket(1, operator="bo")]),
            apply_all([make_ticket(1, {"team/vat": None})]),
        ]
        self.assertThat(len({value_digest(value) for value in values}), Equals(len(values)))
