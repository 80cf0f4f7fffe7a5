"""Handover of the ledger to a successor at a graceful shutdown.

The leaving process freezes its ledger, copies it to one live peer in messages of bounded size,
commits the copy, and announces the successor to all peers. It starts no job after the freeze, so
the successor may accept the next keys of the sessions. A copy takes effect only with its commit. If
the reply to the commit is lost, the receiver remains the successor, because it may already own
the sessions.
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
from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable

__all__ = ["HandOverSender", "copy_batches", "register_handover"]

log = structlog.get_logger(__name__)

BATCH_BYTES = 256_000
CALL_TIMEOUT_S = 2.0
MAX_SEND_TRIES = 2  # tries of one message if the call times out


def copy_batches(ledger, *, batch_bytes=BATCH_BYTES):
    """Yield `HandOver` messages that together contain all finished records of a ledger.

    Parameters
    ----------
    ledger : Ledger
        Ledger of the leaving process.
    batch_bytes : int, optional
        Maximum size of one message, in bytes, exceeded by at most one record.
    """
    sessions, caller_key_records, size = [], [], 0
    for session in list(ledger.sessions.values()):
        records = []
        for sequence, record in session.records.items():
            if record.state is not RecordState.FINISHED:
                continue
            records.append(_record_copy(sequence, record))
            size += record.size_bytes
            if size >= batch_bytes:
                yield HandOver(
                    [*sessions, SessionCopy(session.session_id, session.low_water_mark, records)],
                    [],
                )
                sessions, records, size = [], [], 0
        sessions.append(SessionCopy(session.session_id, session.low_water_mark, records))
    for key, record in ledger.caller_key_records.items():
        if record.state is not RecordState.FINISHED:
            continue
        caller_key_records.append((key, _record_copy(0, record)))
        size += record.size_bytes
        if size >= batch_bytes:
            yield HandOver(sessions, caller_key_records)
            sessions, caller_key_records, size = [], [], 0
    if sessions or caller_key_records:
        yield HandOver(sessions, caller_key_records)


def _record_copy(sequence, record):
    return RecordCopy(sequence, record.digest, record.status, record.answer)


def register_handover(peers, ledger, *, now):
    """Register the handlers that take over the ledgers of leaving peers.

    Parameters
    ----------
    peers : PeerNetwork
        Network that the handlers are registered with.
    ledger : Ledger
        Ledger that the received records are added to.
    now : callable
        Returns the monotonic time, in seconds.
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
        ledger.adopt_session(copy.session, copy.low_water_mark, copy.records, now_s=now_s)
    for key, record in message.caller_key_records:
        ledger.adopt_caller_key_record(key, record)


class HandOverSender:
    """Hands the ledger of this process over to a peer.

    Parameters
    ----------
    peers : PeerNetwork
        Network to the successor.
    ledger : Ledger
        Ledger to hand over.
    """

    def __init__(self, peers, ledger):
        self._peers = peers
        self._ledger = ledger

    def hand_over(self):
        """Copy the frozen ledger to the first live peer that accepts all of it.

        Returns
        -------
        str or None
            Incarnation of the successor; None if no peer accepted the ledger.
        """
        for member in self._live_peers():
            if not self._copy_to(member.incarnation):
                continue
            if self._commit(member.incarnation):
                return member.incarnation
        return None

    def _commit(self, incarnation):
        """Commit the copy; return False only if the commit certainly did not take effect."""
        try:
            self._peers.call(incarnation, HandOverCommit(), timeout_s=CALL_TIMEOUT_S)
        except PeerUnreachable:
            return False
        except PeerOutcomeUnknown:
            log.warning("handover_commit_unanswered", successor=incarnation)
        return True

    def _live_peers(self):
        """Return the live peers that accept work, those of the same failure domain first."""
        live = [member for member in self._peers.members() if member.accepts_work]
        own = self._peers.failure_domain
        return sorted(live, key=lambda m: (m.failure_domain != own, m.incarnation))

    def _copy_to(self, incarnation):
        return all(self._send(incarnation, message) for message in copy_batches(self._ledger))

    def _send(self, incarnation, message):
        for _ in range(MAX_SEND_TRIES):
            try:
                self._peers.call(incarnation, message, timeout_s=CALL_TIMEOUT_S)
            except PeerUnreachable:
                return False
            except PeerOutcomeUnknown:
                continue
            return True
        return False
