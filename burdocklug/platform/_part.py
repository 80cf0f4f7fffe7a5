"""Parts of a process: store client, follower of the store, client and readiness listeners."""

import structlog

from burdocklug.kernel import part
from burdocklug.platform._callers import ClientsApp, ReadinessApp
from burdocklug.platform._entries import SERVERS_PREFIX, decode_entry, worker_id
from burdocklug.platform._operator import OperatorFollower
from burdocklug.store import PrefixFollower, Record, record_stores
from burdocklug.web import ConnectionLimits, HttpListener, max_caller_connections

__all__ = ["CataloguePart", "ClientsPart"]

STOP_TIMEOUT_S = 0.4  # for responses in flight, at least; slow readers have the grace period
STOP_MARGIN_S = 1.0  # end of the grace period, for the parts that stop after the listeners
READY_CONNECTIONS = 16

log = structlog.get_logger(__name__)


@part("records", profile="pool")
def build_records(process):
    """Return the client of the platform's store."""
    settings = process.settings
    build = record_stores.get(settings.pool.records)
    return build(
        settings.platform.addresses[0],
        timeout_s=settings.platform.timeout_s,
        now=process.timers.now,
    )


class CataloguePart:
    """Updates the pool's directory from the worker entries and the operator's keys."""

    def __init__(self, process):
        self._pool = process["pool"]
        self._now = process.timers.now
        self._malformed = {}  # revision of each entry that is not valid, by key
        store, directory = process["records"], self._pool.directory
        self._worker_entries = PrefixFollower(
            store,
            SERVERS_PREFIX,
            replace=self._replace_worker_entries,
            apply=self._apply_worker_entry,
            pace=self._pool.listing_pace,
            on_answer=directory.entries_age.note_answer,
            on_failure=self._note_listing_failed,
            now=process.timers.now,
        )
        self._operator = OperatorFollower(
            store,
            directory,
            pace=self._pool.configuration_pace,
            now=process.timers.now,
            on_failure=lambda sent_s: self._note_failure(directory.configuration_age, sent_s),
        )
        self._pool.on_configuration_doubtful = self._operator.poll_now
        self._pool.on_elected = self._read_all_now

    def _read_all_now(self):
        self._worker_entries.poll_now()
        self._operator.poll_now()

    def _note_listing_failed(self, sent_s):
        directory = self._pool.directory
        self._note_failure(directory.entries_age, sent_s)
        # Its call in flight is cancelled without an answer.
        self._note_failure(directory.configuration_age, sent_s)
        self._operator.poll_now()

    def _note_failure(self, age, sent_s):
        """Record a failed call that was sent at `sent_s`, unless this process was late itself."""
        is_loop_late = self._pool.host.was_late_since(sent_s, self._now())
        if is_loop_late:
            log.info("listing_failed_late", age_s=round(self._now() - sent_s, 3))
        age.note_failure(is_loop_late=is_loop_late)

    def start(self):
        """Start to follow the operator's keys and the worker entries."""
        self._operator.start()
        self._worker_entries.start()

    def _replace_worker_entries(self, records):
        entries = [self._decode_worker_entry(record) for record in records]
        self._pool.list_endpoints([entry for entry in entries if entry is not None])
        listed = {record.key for record in records}
        self._malformed = {k: r for k, r in self._malformed.items() if k in listed}

    def _decode_worker_entry(self, record):
        """Return the endpoint of an entry, or None; an entry that is not valid is logged once."""
        entry = decode_entry(record.key, record.value)
        if entry is not None:
            self._malformed.pop(record.key, None)
        elif self._malformed.get(record.key) != record.revision:
            self._malformed[record.key] = record.revision
            log.warning("entry_malformed", key=record.key, revision=record.revision)
        return entry

    def _apply_worker_entry(self, change):
        if not isinstance(change, Record):
            self._malformed.pop(change.key, None)
            self._pool.unlist_endpoint(worker_id(change.key))
            return
        entry = self._decode_worker_entry(change)
        if entry is None:
            self._pool.unlist_endpoint(worker_id(change.key))
        else:
            self._pool.list_endpoint(entry)


class ClientsPart:
    """Listeners for clients and for the load balancer's readiness checks."""

    def __init__(self, process):
        pool, listen = process["pool"], process.settings.listen
        self._pool = pool
        self._clients = HttpListener(
            listen.callers,
            ClientsApp(
                pool,
                body_timeout_s=listen.body_timeout_s,
                max_tasks=process.settings.pool.max_tasks,
            ),
            max_connections=max_caller_connections(process.settings),
            header_timeout_s=listen.header_timeout_s,
            get_limits=self._connection_limits,
            budget=process["web"],
        )
        self._readiness = HttpListener(
            process.settings.pool.readiness,
            ReadinessApp(lambda: pool.is_ready and not process.draining),
            max_connections=READY_CONNECTIONS,
            header_timeout_s=listen.header_timeout_s,
            budget=process["web"],
        )

    def _connection_limits(self):
        """Return the limits of the configuration in force."""
        configuration = self._pool.directory.configuration
        return ConnectionLimits(
            configuration.header_timeout_s,
            configuration.idle_timeout_s,
            configuration.max_header_bytes,
        )

    def start(self):
        """Start both listeners."""
        self._clients.start()
        self._readiness.start()

    def stop(self):
        """Stop both listeners."""
        self._readiness.stop(timeout_s=STOP_TIMEOUT_S)
        remaining_s = self._pool.remaining_grace_s() - STOP_MARGIN_S
        self._clients.stop(timeout_s=max(STOP_TIMEOUT_S, remaining_s))


@part("catalogue", needs=("pool", "records"), profile="pool")
def build_catalogue(process):
    """Return the part that follows the store."""
    return CataloguePart(process)


@part("clients", needs=("web", "pool"), profile="pool")
def build_clients(process):
    """Return the listeners for clients and the load balancer."""
    return ClientsPart(process)
