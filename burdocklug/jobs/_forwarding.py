"""Requests about keys that another process owns.

The owner answers each message within `SLICE_S`, so that a lost message or a silent connection
costs one slice and not the whole job. Asking again is safe: the owner's ledger is idempotent.
"""

import time

import eventlet

from burdocklug.jobs._jobs import Answer, encode_error
from burdocklug.jobs._messages import AwaitJob, CancelJob, SubmitJob
from burdocklug.kernel import BurdocklugError, ErrorKind
from burdocklug.peers import PeerNotReached, PeerSilent

__all__ = ["Forwarder"]

SLICE_S = 5.0  # longest wait of one message at the owner
MARGIN_S = 1.0  # added to the wait for the trip
MAX_SILENT_TRIES = 2
SUCCESSOR_WAIT_S = 1.5
SUCCESSOR_POLL_S = 0.05


class Forwarder:
    """Passes requests to the owner of a key and the owner's answer back.

    Parameters
    ----------
    peers : PeerNetwork
        Carries the messages.
    is_draining : callable
        Whether this process shuts down; waits then end with the next slice, and the caller is
        told that the job is running, so that no request in flight is cut.
    clock : callable, optional
        Monotonic seconds.
    """

    def __init__(self, peers, *, is_draining, clock=time.monotonic):
        self._peers = peers
        self._is_draining = is_draining
        self._clock = clock

    def submit(self, owner, key_text, body, *, wait_s):
        """Submit at the owner and wait up to `wait_s` seconds for the end."""
        until_s = self._clock() + wait_s
        message = SubmitJob(key_text, body, min(wait_s, SLICE_S))
        answer = self._ask(owner, message, key_text)
        return self._wait_until(owner, key_text, answer, until_s)

    def wait(self, owner, key_text, *, wait_s):
        """Return the state at the owner, waiting up to `wait_s` seconds for the end."""
        until_s = self._clock() + wait_s
        answer = self._ask(owner, AwaitJob(key_text, min(wait_s, SLICE_S)), key_text)
        return self._wait_until(owner, key_text, answer, until_s)

    def cancel(self, owner, key_text):
        """Cancel at the owner."""
        return self._ask(owner, CancelJob(key_text), key_text)

    def _wait_until(self, owner, key_text, answer, until_s):
        while not answer.done and (left_s := until_s - self._clock()) > 0:
            if self._is_draining():
                break
            owner = self._peers.successor_of(owner) or owner
            answer = self._ask(owner, AwaitJob(key_text, min(left_s, SLICE_S)), key_text)
        return answer

    def _ask(self, owner, message, key_text):
        timeout_s = getattr(message, "wait_s", 0.0) + MARGIN_S
        silent = 0
        while silent < MAX_SILENT_TRIES:
            try:
                reply = self._peers.call(owner, message, timeout_s=timeout_s)
            except PeerNotReached as exc:
                successor = self._await_successor(owner)
                if successor is None:
                    return _owner_lost(key_text, owner, exc)
                owner = successor
            except PeerSilent as exc:
                fault = exc
                silent += 1
            else:
                return Answer(reply.status, reply.body, reply.done, reply.retry_after_s)
        return _owner_lost(key_text, owner, fault)

    def _await_successor(self, owner):
        """Return the successor of an owner that is gone, or None where it left none.

        Notes
        -----
        A process that has just started, or a leave that is still on its way, may make the
        successor known a moment after the owner is gone.
        """
        until_s = self._clock() + SUCCESSOR_WAIT_S
        while True:
            successor = self._peers.successor_of(owner)
            if successor is not None or self._clock() >= until_s:
                return successor
            eventlet.sleep(SUCCESSOR_POLL_S)


def _owner_lost(key_text, owner, fault):
    message = f"the owner {owner} does not answer: {fault.message}"
    return encode_error(BurdocklugError(ErrorKind.OWNER_LOST, message), key=key_text)
