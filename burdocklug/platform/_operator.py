"""Takes the operator's configuration and evacuations from the store into the directory."""

import structlog

from burdocklug.platform._entries import (
    CONFIG_KEY,
    EVACUATE_PREFIX,
    OPERATOR_PREFIX,
    decode_configuration,
    evacuated_domain,
    is_evacuation_value,
)
from burdocklug.pools import EvacuationView
from burdocklug.store import PrefixFollower, Record

__all__ = ["OperatorFollower"]

log = structlog.get_logger(__name__)


class OperatorFollower:
    """Follows all keys of the operator, so that they share one age and one way to be vouched for.

    Parameters
    ----------
    store : RecordStore
        The platform's store.
    directory : Directory
        Where configuration and evacuations go.
    pace : callable
        Returns the `PollIntervals` of the next call.
    now : callable
        Returns monotonic seconds.
    on_failure : callable, optional
        Called with the time at which it was sent after each failed call; the default counts it as
        the store's.
    """

    def __init__(self, store, directory, *, pace, now, on_failure=None):
        self._directory = directory
        self._now = now
        self._malformed = {}  # revision of each evacuation that is malformed, by key
        self._follower = PrefixFollower(
            store,
            OPERATOR_PREFIX,
            replace=self._replace,
            apply=self._apply,
            pace=pace,
            on_answer=self._note_answer,
            on_failure=on_failure or self._note_failure,
            skips_superseded=True,
            known_revision=lambda: directory.operators_revision,
            now=now,
        )
        self.start = self._follower.start
        self.poll_now = self._follower.poll_now

    def _replace(self, records):
        keys = {record.key for record in records}
        self._malformed = {k: r for k, r in self._malformed.items() if k in keys}
        requests = {}
        for record in records:
            if record.key == CONFIG_KEY:
                self._apply_configuration(record)
            elif self._is_evacuation(record):
                requests[evacuated_domain(record.key)] = record.revision
        view = EvacuationView(self._follower.revision, requests)
        self._take(self._directory.evacuation_view.merge(view))

    def _apply(self, change):
        is_written, view = isinstance(change, Record), self._directory.evacuation_view
        if change.key == CONFIG_KEY:
            if is_written:
                self._apply_configuration(change)
        elif not is_written:
            self._malformed.pop(change.key, None)
            domain = evacuated_domain(change.key)
            self._take(view.without_request(domain, change.revision))
        elif self._is_evacuation(change):
            self._take(view.with_request(evacuated_domain(change.key), change.revision))

    def _note_failure(self, _sent_s):
        self._directory.configuration_age.note_failure()

    def _note_answer(self, sent_s):
        view, revision = self._directory.evacuation_view, self._follower.newest_revision
        self._take(view.read_up_to(revision))
        self._directory.operators_revision = max(revision, self._directory.operators_revision)
        self._directory.configuration_age.note_answer(sent_s)

    def _take(self, view):
        age_s = self._directory.configuration_age.known_age_s(self._now())
        self._directory.take_evacuations(view, source="store", age_s=age_s)

    def _is_evacuation(self, record):
        """Return whether a record evacuates a failure domain.

        The key alone says so: where only the value is malformed, the operator has asked for an
        evacuation all the same, and starts there could not be taken back.
        """
        if not record.key.startswith(EVACUATE_PREFIX):
            return False
        domain = evacuated_domain(record.key)
        if domain and is_evacuation_value(record.value):
            self._malformed.pop(record.key, None)
        elif self._malformed.get(record.key) != record.revision:
            self._malformed[record.key] = record.revision
            log.warning(
                "evacuation_malformed",
                key=record.key,
                revision=record.revision,
                in_force=bool(domain),
            )
        return bool(domain)

    def _apply_configuration(self, record):
        try:
            configuration = decode_configuration(record.value)
        except ValueError as exc:
            log.error("configuration_malformed", revision=record.revision, error=str(exc)[:200])
            return
        self._directory.take_configuration(configuration, source="store", now_s=self._now())
