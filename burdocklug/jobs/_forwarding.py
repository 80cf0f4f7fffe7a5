"""Requests about keys that another process owns.

The owner answers each message within `MAX_CALL_WAIT_S`, so that a lost message or an unresponsive
connection delays the answer by one call rather than by the whole wait. Repeating a call is safe:
the owner's ledger is idempotent.
"""

import time

import eventlet

from burdocklug.jobs._jobs import Answer, encode_error
from burdocklug.jobs._messages import AwaitJob, CancelJob, SubmitJob
from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable

__all__ = ["Forwarder"]

MAX_CALL_WAIT_S = 5.0  # maximum time that the owner waits before it answers a message
ROUND_TRIP_MARGIN_S = 1.0  # timeout of a call in addition to the owner's wait
MAX_TIMEOUTS = 2  # timeouts of one message before the owner counts as lost
SUCCESSOR_WAIT_S = 1.5  # maximum wait for the successor of an unreachable owner
SUCCESSOR_POLL_S = 0.05


class Forwarder:
    """Forwards requests to the owner of a key and returns the owner's answer.

    Parameters
    ----------
    peers : PeerNetwork
        Network to the owners.
    is_draining : callable
        Returns whether this process is shutting down. Waits then end after the call in progress
        with the answer that the job is running, so that shutdown cuts off no request.
    clock : callable, optional
        Returns the monotonic time, in seconds.
    """

    def __init__(self, peers, *, is_draining, clock=time.monotonic):
        self._peers = peers
        self._is_draining = is_draining
        self._clock = clock

    def submit(self, owner, key_text, body, *, wait_s):
        """Submit a job at the owner and wait up to `wait_s` seconds for it to end."""
        until_s = self._clock() + wait_s
        message = SubmitJob(key_text, body, min(wait_s, MAX_CALL_WAIT_S))
        answer = self._call_owner(owner, message, key_text)
        return self._wait_until(owner, key_text, answer, until_s)

    def wait(self, owner, key_text, *, wait_s):
        """Return the owner's answer, waiting up to `wait_s` seconds for the job to end."""
        until_s = self._clock() + wait_s
        answer = self._call_owner(owner, AwaitJob(key_text, min(wait_s, MAX_CALL_WAIT_S)), key_text)
        return self._wait_until(owner, key_text, answer, until_s)

    def cancel(self, owner, key_text):
        """Cancel a job at the owner."""
        return self._call_owner(owner, CancelJob(key_text), key_text)

    def _wait_until(self, owner, key_text, answer, until_s):
        while not answer.done and (left_s := until_s - self._clock()) > 0:
            if self._is_draining():
                break
            owner = self._peers.successor_of(owner) or owner
            answer = self._call_owner(
                owner, AwaitJob(key_text, min(left_s, MAX_CALL_WAIT_S)), key_text
            )
        return answer

    def _call_owner(self, owner, message, key_text):
        timeout_s = getattr(message, "wait_s", 0.0) + ROUND_TRIP_MARGIN_S
        timeouts = 0
        while timeouts < MAX_TIMEOUTS:
            try:
                reply = self._peers.call(owner, message, timeout_s=timeout_s)
            except PeerUnreachable as exc:
                successor = self._await_successor(owner)
                if successor is None:
                    return _owner_lost(key_text, owner, exc)
                owner = successor
            except PeerOutcomeUnknown as exc:
                error = exc
                timeouts += 1
            else:
                return Answer(reply.status, reply.body, reply.done, reply.retry_after_s)
        return _owner_lost(key_text, owner, error)

    def _await_successor(self, owner):
        """Return the successor of an unreachable owner, or None if it has none.

        Notes
        -----
        The successor may become known only after the owner is gone: this process may have just
        started, or the owner's leave message may still be in flight.
        """
        until_s = self._clock() + SUCCESSOR_WAIT_S
        while True:
            successor = self._peers.successor_of(owner)
            if successor is not None or self._clock() >= until_s:
                return successor
            eventlet.sleep(SUCCESSOR_POLL_S)


def _owner_lost(key_text, owner, error):
    message = f"owner {owner} of the key does not answer: {error.message}"
    return encode_error(BurdocklugError(ErrorKind.OWNER_LOST, message), key=key_text)
