"""Handing the ledger to a successor at a graceful shutdown.

The leaving process freezes its ledger, copies it to one live peer in bounded messages, commits
the copy, and tells everybody who the successor is. It starts nothing after the freeze, so that the
successor may take the sessions' next keys. A copy counts only from its commit; where the answer to
the commit is lost the receiver stays the successor, since it may own the sessions already.
"""

import structlog

from burdocklug.jobs._ledger import RecordState
from burdocklug.jobs._messages import (
    HandOver,
    HandOverCommit,
    HandOverDone,
    RecordCopy,
    SessionCopy,
)
from burdocklug.peers import PeerNotReached, PeerSilent

__all__ = ["HandOverSender", "copy_batches", "register_handover"]

log = structlog.get_logger(__name__)

BATCH_BYTES = 256_000
CALL_TIMEOUT_S = 2.0
MAX_SILENT_TRIES = 2


def copy_batches(ledger, *, batch_bytes=BATCH_BYTES):
    """Yield `HandOver` messages that together hold every finished record of a ledger.

    Parameters
    ----------
    ledger : Ledger
        The ledger of the leaving process.
    batch_bytes : int, optional
        Bound on the bytes of one message, exceeded by at most one record.
    """
    sessions, claims, size = [], [], 0
    for session in list(ledger.sessions.values()):
        records = []
        for sequence, record in session.records.items():
            if record.state is not RecordState.FINISHED:
                continue
            records.append(_copy(sequence, record))
            size += record.size_bytes
            if size >= batch_bytes:
                yield HandOver([*sessions, SessionCopy(session.session, session.mark, records)], [])
                sessions, records, size = [], [], 0
        sessions.append(SessionCopy(session.session, session.mark, records))
    for key, record in ledger.claims.items():
        if record.state is not RecordState.FINISHED:
            continue
        claims.append((key, _copy(0, record)))
        size += record.size_bytes
        if size >= batch_bytes:
            yield HandOver(sessions, claims)
            sessions, claims, size = [], [], 0
    if sessions or claims:
        yield HandOver(sessions, claims)


def _copy(sequence, record):
    return RecordCopy(sequence, record.digest, record.status, record.answer)


def register_handover(peers, ledger, *, now):
    """Let this process take over ledgers of leaving peers.

    Parameters
    ----------
    peers : PeerNetwork
        Delivers the messages.
    ledger : Ledger
        Receives the sessions and claims.
    now : callable
        Monotonic seconds.
    """
    staged = {}

    def stage(sender, message):
        staged.setdefault(sender, []).append(message)
        return HandOverDone(len(message.sessions))

    def commit(sender, _message):
        messages = staged.pop(sender, [])
        for message in messages:
            _adopt(ledger, message, now_s=now())
        count = sum(len(message.sessions) for message in messages)
        log.info("ledger_taken_over", sender=sender, sessions=count)
        return HandOverDone(count)

    peers.register(HandOverDone)
    peers.register(HandOver, stage)
    peers.register(HandOverCommit, commit)


def _adopt(ledger, message, *, now_s):
    for copy in message.sessions:
        ledger.adopt_session(copy.session, copy.mark, copy.records, now_s=now_s)
    for key, record in message.claims:
        ledger.adopt_claim(key, record)


class HandOverSender:
    """Hands the ledger of this process over.

    Parameters
    ----------
    peers : PeerNetwork
        Reaches the successor.
    ledger : Ledger
        What is handed over.
    """

    def __init__(self, peers, ledger):
        self._peers = peers
        self._ledger = ledger

    def hand_over(self):
        """Copy the frozen ledger to the first peer that takes all of it.

        Returns
        -------
        str or None
            The successor's incarnation; None where no peer took the ledger.
        """
        for member in self._candidates():
            if not self._copy_to(member.incarnation):
                continue
            if self._commit(member.incarnation):
                return member.incarnation
        return None

    def _commit(self, incarnation):
        """Return False only where the commit certainly did not take effect."""
        try:
            self._peers.call(incarnation, HandOverCommit(), timeout_s=CALL_TIMEOUT_S)
        except PeerNotReached:
            return False
        except PeerSilent:
            log.warning("handover_commit_unanswered", successor=incarnation)
        return True

    def _candidates(self):
        """Return live peers, those of the own failure domain first."""
        live = [member for member in self._peers.members() if member.takes_work]
        own = self._peers.failure_domain
        return sorted(live, key=lambda m: (m.failure_domain != own, m.incarnation))

    def _copy_to(self, incarnation):
        return all(self._send(incarnation, message) for message in copy_batches(self._ledger))

    def _send(self, incarnation, message):
        for _ in range(MAX_SILENT_TRIES):
            try:
                self._peers.call(incarnation, message, timeout_s=CALL_TIMEOUT_S)
            except PeerNotReached:
                return False
            except PeerSilent:
                continue
            return True
        return False
