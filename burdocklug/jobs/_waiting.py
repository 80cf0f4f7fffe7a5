"""Waiting for the job of a record to end."""

import eventlet
from eventlet.event import Event

from burdocklug.jobs._jobs import Answer, encode_running
from burdocklug.jobs._ledger import RecordState

__all__ = ["wait_for_record"]


def wait_for_record(record, wait_s):
    """Return the answer of a record, waiting up to `wait_s` seconds for its job to end.

    Parameters
    ----------
    record : Record
        Record of the submission.
    wait_s : float
        Maximum time to wait, in seconds; 0 returns immediately.

    Returns
    -------
    Answer
        The stored answer, unchanged, or an answer with ``done`` False if the job is running.
    """
    if record.state is RecordState.RUNNING and wait_s > 0:
        event = Event()
        record.waiters.append(event)
        with eventlet.Timeout(wait_s, False):
            event.wait()
        if event in record.waiters:
            record.waiters.remove(event)
    if record.state is RecordState.RUNNING:
        return encode_running(record.key)
    return Answer(record.status, record.answer, retry_after_s=record.retry_after_s)
