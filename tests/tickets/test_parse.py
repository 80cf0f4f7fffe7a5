import json

from testtools import TestCase
from testtools.matchers import Contains, Equals, HasLength, Is

from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.tickets import TicketInvalid, parse_ticket, ticket_digest
from tests.tickets.builders import SERVICE, endpoint, endpoint_set, make_ticket, team

TOO_MANY = {f"team/t{index}": None for index in range(1001)}
TWO_OF_A_NAME = [endpoint(1), endpoint(2, name="worker-001")]
TWO_OF_AN_ADDRESS = [endpoint(1), endpoint(2, address=endpoint(1)["address"])]

# Objects of the ticket, path of the first error.
OBJECT_FAULTS = [
    ({}, "$.objects"),
    (TOO_MANY, "$.objects"),
    ([], "$.objects"),
    ({"team/A": None}, "$.objects['team/A']"),
    ({"team/a\n": None}, "$.objects['team/a\\n']"),
    ({"limit/a": None}, "$.objects['limit/a']"),
    ({"team/": None}, "$.objects['team/']"),
    ({"team/a": 3}, "$.objects['team/a']"),
    ({"team/a": {}}, "$.objects['team/a'].max_running"),
    ({"team/a": {**team(), "colour": 1}}, "$.objects['team/a'].colour"),
    ({"team/a": team(-1)}, "$.objects['team/a'].max_running"),
    ({"team/a": team(True)}, "$.objects['team/a'].max_running"),
    ({"team/a": team("3")}, "$.objects['team/a'].max_running"),
    ({"team/a": team(1, 0)}, "$.objects['team/a'].weight"),
    ({"service/s": {**SERVICE, "weight": "cost"}}, "$.objects['service/s'].weight"),
    ({"service/s": {**SERVICE, "max_queue": 0}}, "$.objects['service/s'].max_queue"),
    ({"service/s": {**SERVICE, "task_timeout_s": 0}}, "$.objects['service/s'].task_timeout_s"),
    ({"service/s": {**SERVICE, "task_timeout_s": 4000}}, "$.objects['service/s'].task_timeout_s"),
    ({"endpoints/s": {}}, "$.objects['endpoints/s'].endpoints"),
    ({"endpoints/s": {"endpoints": {}}}, "$.objects['endpoints/s'].endpoints"),
    ({"endpoints/s": {"endpoints": [7]}}, "$.objects['endpoints/s'].endpoints[0]"),
    ({"endpoints/s": {"endpoints": TWO_OF_A_NAME}}, "$.objects['endpoints/s'].endpoints[1].name"),
    (
        {"endpoints/s": {"endpoints": TWO_OF_AN_ADDRESS}},
        "$.objects['endpoints/s'].endpoints[1].address",
    ),
]

ENDPOINT_FAULTS = [
    ("name", "Worker"),
    ("name", "x" * 64),
    ("address", "localhost:1"),
    ("address", "10.0.0.256:1"),
    ("address", "10.0.0.01:1"),
    ("address", "10.0.0.1:0"),
    ("address", "10.0.0.1:65536"),
    ("address", "10.0.0.1:80\n"),
    ("host", "10.0.0"),
    ("failure_domain", ""),
    ("rack", None),
    ("slots", 0),
    ("slots", 1.5),
    ("max_connections", 70_000),
    ("accelerators", -1),
    ("gpu", 1),
]

TEXT_FAULTS = [
    ("", "$"),
    ("[1", "$"),
    ("- 1", "$"),
    ("\x00", "$"),
    ("[" * 100_000, "$"),
    ("- " * 100_000, "$"),
    ('{"number": 1, "number": 2}', "$"),
    ("number: 1\nnumber: 2", "$"),
    ("number: 1\noperator: a\nobjects: {team/a: &x null, team/b: *x}", "$"),
    ("? [a]\n: 1", "$"),
    ("number: !!python/name:os.system x", "$"),
    ('{"number": NaN}', "$"),
    ("{operator: ada, objects: {team/a: null}}", "$.number"),
    ("{number: 0, operator: ada, objects: {team/a: null}}", "$.number"),
    ("{number: 9007199254740992, operator: ada, objects: {team/a: null}}", "$.number"),
    ("{number: 1.0, operator: ada, objects: {team/a: null}}", "$.number"),
    ("{number: 1, operator: '', objects: {team/a: null}}", "$.operator"),
    ("{number: 1, operator: ada, objects: {team/a: null}, force: true}", "$.force"),
    (
        "{number: 1, operator: a, objects: {service/s: {weight: latency, max_queue: 1, "
        "max_tasks: 1, task_timeout_s: .nan}}}",
        "$.objects['service/s'].task_timeout_s",
    ),
]


class ParseTicketTest(TestCase):
    def assert_fault(self, path, text):
        exc = self.assertRaises(TicketInvalid, parse_ticket, text)
        self.assertThat(exc.kind, Is(ErrorKind.BAD_REQUEST))
        self.assertThat(exc.path, Equals(path))
        return exc

    def test_faults_of_objects_are_named_by_path(self):
        for objects, path in OBJECT_FAULTS:
            text = json.dumps({"number": 1, "operator": "ada", "objects": objects})
            self.assert_fault(path, text)

    def test_faults_of_endpoints_are_named_by_path(self):
        for field, value in ENDPOINT_FAULTS:
            objects = {"endpoints/s": {"endpoints": [endpoint(0), endpoint(1, **{field: value})]}}
            text = json.dumps({"number": 1, "operator": "ada", "objects": objects})
            self.assert_fault(f"$.objects['endpoints/s'].endpoints[1].{field}", text)

    def test_faults_of_text_are_named_by_path(self):
        for text, path in TEXT_FAULTS:
            self.assert_fault(path, text)

    def test_every_fault_is_listed_with_the_value(self):
        objects = {"team/a": team(-1, 0), "endpoints/s": {"endpoints": [endpoint(0, host="x")]}}
        text = json.dumps({"number": 0, "operator": "ada", "objects": objects})
        exc = self.assertRaises(TicketInvalid, parse_ticket, text)
        self.assertThat(exc.faults, HasLength(4))
        self.assertThat(exc.message, Contains("'x' is not a valid host"))

    def test_too_long_a_text_is_refused_before_it_is_read(self):
        exc = self.assertRaises(BurdocklugError, parse_ticket, "[" * 1_000_001)
        self.assertThat(exc.kind, Is(ErrorKind.TICKET_TOO_LARGE))

    def test_json_and_yaml_give_the_same_ticket(self):
        objects = {"service/s": SERVICE, "endpoints/s": endpoint_set(3), "team/a": None}
        data = {"number": 3, "operator": "ada", "objects": objects}
        as_yaml = "number: 3\noperator: ada\nobjects:\n" + "".join(
            f"  {name}: {json.dumps(state)}\n" for name, state in objects.items()
        )
        self.assertThat(parse_ticket(as_yaml), Equals(parse_ticket(json.dumps(data))))


class TicketDigestTest(TestCase):
    def test_order_has_no_part_in_the_digest(self):
        forward = {"team/a": None, "endpoints/s": endpoint_set(3)}
        backward = {
            "endpoints/s": {"endpoints": endpoint_set(3)["endpoints"][::-1]},
            "team/a": None,
        }
        digests = {ticket_digest(make_ticket(1, objects)) for objects in (forward, backward)}
        self.assertThat(digests, HasLength(1))

    def test_all_content_has_part_in_the_digest(self):
        tickets = [
            make_ticket(1, {"team/a": team(1)}),
            make_ticket(2, {"team/a": team(1)}),
            make_ticket(1, {"team/a": team(2)}),
            make_ticket(1, {"team/b": team(1)}),
            make_ticket(1, {"team/a": None}),
            make_ticket(1, {"team/a": team(1)}, operator="bo"),
        ]
        self.assertThat({ticket_digest(ticket) for ticket in tickets}, HasLength(len(tickets)))
