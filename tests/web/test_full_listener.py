"""A listener that has as many connections as it may have."""

import eventlet
from testtools.matchers import Equals

from burdocklug.web import ClientBudget, Request, Response
from tests.scenarios import with_scenarios
from tests.web.crowds import head
from tests.web.test_budget import BudgetTestCase
from tests.web.test_odd_requests import ListenerTestCase, SizeApp

MAX_CONNECTIONS = 10  # of the listener in `ListenerTestCase`


class ChoiceTest(BudgetTestCase):
    """Who gives way to a new connection."""

    def make_room(self, listener="a"):
        return self.budget.make_room(listener, "connections")

    def open_in(self, *phases, **options):
        from burdocklug.web._clients import Phase

        return [self.open(phase=Phase[name], **options) for name in phases]

    def test_the_one_without_progress_for_longest(self):
        first, second, _third = self.open_in("IDLE", "RECEIVING", "IDLE")
        self.now_s += 1.0
        self.budget.note_progress(first)
        self.assertTrue(self.make_room())
        self.assertThat(self.dropped, Equals([second]))

    def test_one_that_was_served_only_after_those_that_never_were(self):
        served, fresh = self.open_in("IDLE", "RECEIVING")
        served.has_been_served = True
        self.make_room()
        self.make_room()
        self.assertThat(self.dropped, Equals([fresh, served]))

    def test_none_that_is_being_served(self):
        self.open_in("SERVING", "SERVING")
        self.assertThat((self.make_room(), self.dropped), Equals((False, [])))

    def test_none_of_another_listener(self):
        self.open_in("IDLE", listener="b")
        self.assertThat(self.make_room("a"), Equals(False))

    def test_each_only_once(self):
        self.open_in("IDLE")
        self.assertThat([self.make_room(), self.make_room()], Equals([True, False]))


class WaitingApp(SizeApp):
    """Answers requests to ``/wait`` when told to."""

    def __init__(self):
        super().__init__()
        self.go = eventlet.event.Event()

    def respond(self, environ):
        if environ["PATH_INFO"] == "/wait":
            Request(environ, {}, 10, 1.0).read_body()
            self.go.wait()
            return Response(200, b"waited")
        return super().respond(environ)


@with_scenarios
class CrowdedListenerTest(ListenerTestCase):
    scenarios = [
        ("silent", {"data": b""}),
        ("request line", {"data": b"POST /"}),
        ("headers", {"data": b"POST / HTTP/1.1\r\nHost: a\r\n"}),
        ("body", {"data": head("/", "Content-Length: 9") + b"ab"}),
        ("kept open", {"data": head("/", "Content-Length: 0")}),
    ]

    def make_app(self):
        return WaitingApp()

    def test_a_request_is_answered_and_those_that_are_served_stay(self):
        self.sock.sendall(head("/wait", "Content-Length: 0"))
        eventlet.sleep(0.05)
        for _ in range(3 * MAX_CONNECTIONS):
            self.connect().sendall(self.data)
        last = self.connect()
        last.sendall(head("/", "Content-Length: 2") + b"ab")
        self.assertThat(self.read_response(last), Equals((200, b"2")))
        self.app.go.send(None)
        self.assertThat(self.read_response(), Equals((200, b"waited")))


class DroppedAsItIsServedTest(ListenerTestCase):
    """A connection that has to give way just as its request arrives whole."""

    budget = ClientBudget()

    def make_app(self):
        return WaitingApp()

    def test_its_response_is_sent_and_the_connection_is_closed(self):
        self.sock.sendall(head("/wait", "Content-Length: 0"))
        eventlet.sleep(0.05)
        (conn,) = self.budget.connections
        conn.is_dropped = True
        conn.drop(None)
        eventlet.sleep(0.05)
        self.app.go.send(None)
        self.assertThat(self.read_response()[0], Equals(200))
        self.assertThat(self.sock.recv(1), Equals(b""))


class BusyListenerTest(ListenerTestCase):
    budget = ClientBudget()

    def make_app(self):
        return WaitingApp()

    def test_an_answered_connection_gives_way_where_all_others_are_served(self):
        busy = [self.sock] + [self.connect() for _ in range(MAX_CONNECTIONS - 1)]
        for sock in busy:
            sock.sendall(head("/wait", "Content-Length: 0"))
        eventlet.sleep(0.1)
        last = self.connect()
        last.sendall(head("/", "Content-Length: 2") + b"ab")
        eventlet.sleep(0.1)
        self.app.go.send(None)
        for sock in busy:
            self.assertThat(self.read_response(sock), Equals((200, b"waited")))
        self.assertThat(self.read_response(last), Equals((200, b"2")))
        self.assertThat(sum(self.budget.refusals.values()), Equals(0))
