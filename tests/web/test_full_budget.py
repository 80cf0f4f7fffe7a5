"""A listener whose budget for requests is used up, over real sockets."""

import eventlet
from testtools.matchers import Equals

from burdocklug.kernel import ErrorKind
from burdocklug.web import ClientBudget
from tests.web.crowds import head
from tests.web.test_odd_requests import ListenerTestCase

BODY_BYTES = 20_000


class FullBudgetTest(ListenerTestCase):
    budget = ClientBudget(50_000)

    def test_a_stalled_body_gives_way_and_its_sender_learns_that_nothing_ran(self):
        stalled = [self.connect() for _ in range(2)]
        for sock in stalled:
            sock.sendall(head("/", f"Content-Length: {BODY_BYTES + 1}") + bytes(BODY_BYTES))
            eventlet.sleep(0.05)
        self.sock.sendall(head("/", f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES))
        self.assertThat(self.read_response(), Equals((200, b"%d" % BODY_BYTES)))
        status, answer = self.read_response(stalled[0])
        self.assertThat(status, Equals(503))
        self.assertIn(ErrorKind.SERVER_BUSY.encode(), answer)
        self.assertIn(b'"ran":"no"', answer)
        stalled[1].sendall(b"a")
        self.assertThat(self.read_response(stalled[1])[0], Equals(200))
        self.assertThat(self.budget.held_bytes, Equals(0))

    def test_a_body_over_the_whole_budget_is_refused(self):
        self.sock.sendall(head("/", "Content-Length: 60000") + bytes(60_000))
        self.assertThat(self.read_response()[0], Equals(413))
