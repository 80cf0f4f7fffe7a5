"""Requests from peers about keys that this process owns or has handed over."""

from burdocklug.jobs._jobs import encode_error
from burdocklug.jobs._keys import CallerKey, parse_key
from burdocklug.jobs._messages import AwaitJob, CancelJob, JobReply, SubmitJob
from burdocklug.jobs._waiting import wait_for_record
from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["PeerRequests"]


class PeerRequests:
    """Handles the peer messages `SubmitJob`, `AwaitJob` and `CancelJob`.

    Parameters
    ----------
    service : JobService
        Service with the keys that this process owns.
    peers : PeerNetwork
        Network that the message handlers are registered with.
    """

    def __init__(self, service, peers):
        self._service = service
        peers.register(JobReply)
        peers.register(SubmitJob, self._on_submit)
        peers.register(AwaitJob, self._on_await)
        peers.register(CancelJob, self._on_cancel)

    def _on_submit(self, _sender, message):
        return self._reply(lambda: self._submit_forwarded(message))

    def _submit_forwarded(self, message):
        key = parse_key(message.key)
        self._service.await_unfrozen()
        successor = self._service.handed_over_to
        if successor is not None:
            return self._service.forwarder.submit(
                successor, message.key, message.body, wait_s=message.wait_s
            )
        if isinstance(key, CallerKey):
            return self._service.submit(message.key, message.body, wait_s=message.wait_s)
        if self._service.session_key_owner(key) != self._service.incarnation:
            raise BurdocklugError(
                ErrorKind.OWNER_LOST, f"this process does not own key {message.key}"
            )
        return self._service.submit_owned(key, message.body, message.wait_s)

    def _on_await(self, _sender, message):
        return self._reply(lambda: self._await_forwarded(message))

    def _await_forwarded(self, message):
        key = parse_key(message.key)
        self._service.await_unfrozen()
        successor = self._service.handed_over_to
        if successor is not None:
            return self._service.forwarder.wait(successor, message.key, wait_s=message.wait_s)
        return wait_for_record(self._service.find_record(key), message.wait_s)

    def _on_cancel(self, _sender, message):
        return self._reply(lambda: self._cancel_forwarded(message))

    def _cancel_forwarded(self, message):
        key = parse_key(message.key)
        self._service.await_unfrozen()
        successor = self._service.handed_over_to
        if successor is not None:
            return self._service.forwarder.cancel(successor, message.key)
        return self._service.cancel_owned(key)

    def _reply(self, action):
        try:
            answer = action()
        except BurdocklugError as exc:
            answer = encode_error(exc)
        return JobReply(answer.status, answer.body, answer.done, answer.retry_after_s)
