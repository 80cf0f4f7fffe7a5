"""The job service of one process on fakes, for tests of the jobs package and its interfaces."""

import random

import msgspec

from burdocklug.jobs._claims import Claims
from burdocklug.jobs._handover import HandOverSender, register_handover
from burdocklug.jobs._ledger import Ledger
from burdocklug.jobs._service import JobService
from burdocklug.kernel import BurdocklugError, JobSettings
from tests.fakes import FakePeers

__all__ = ["CALLER_KEY", "FakeDispatcher", "Node", "WALL_S", "body", "decode"]

WALL_S = 1_780_000_000.0
CALLER_KEY = "20260528T202640Z-vat-17"  # contains WALL_S as UTC time


def body(payload=1, **fields):
    job = {"service": "press", "team": "vat", "tasks": [{"payload": payload}], "wait": False}
    return msgspec.json.encode({**job, **fields})


def decode(answer):
    return msgspec.json.decode(answer.body)


class FakeDispatcher:
    """Counts job starts by key; finishes or refuses jobs as the test sets it."""

    def __init__(self, ledger, starts):
        self.ledger = ledger
        self.starts = starts
        self.refusal = None
        self.finishes_at_once = True

    def start(self, record, submission, *, size_bytes=0):
        if self.refusal is not None:
            raise BurdocklugError(self.refusal, "refused by the test")
        self.starts[record.key] += 1
        if self.finishes_at_once:
            answer = msgspec.json.encode({"job": record.key, "state": "complete"})
            self.ledger.finish(record, 200, answer)

    def cancel(self, job):
        return


class Node:
    """The job service of one process on fakes."""

    def __init__(self, hub, store, clock, name, starts):
        self.incarnation = (
            f"127.0.0.1:{9000 + len(hub.nodes)}~{random.Random(name).getrandbits(64):016x}"
        )
        self.peers = FakePeers(hub, self.incarnation)
        self.ledger = Ledger(max_sessions=10, max_records=100, max_bytes=100_000, idle_s=100)
        self.dispatcher = FakeDispatcher(self.ledger, starts)
        claims = Claims(store, self.incarnation, window_s=3600, now=clock)
        self.service = JobService(
            JobSettings(),
            incarnation=self.incarnation,
            ledger=self.ledger,
            dispatcher=self.dispatcher,
            claims=claims,
            peers=self.peers,
            clock=clock,
            wall_clock=lambda: WALL_S + clock(),
        )
        register_handover(self.peers, self.ledger, now=clock)

    def drain(self):
        """Shut down gracefully in the same steps as the jobs part."""
        self.service.draining = True
        self.peers.draining = True
        self.service.freeze()
        successor = HandOverSender(self.peers, self.ledger).hand_over()
        self.service.unfreeze(successor)
        self.peers.leave(successor)
