"""Probes that find out whether the endpoints of a failure domain can be reached."""

import random

import eventlet
import structlog
from eventlet.green import socket

__all__ = ["unreachable_domains"]

PROBED_ENDPOINTS = 3  # number of endpoints sampled in a failure domain
PROBE_TIMEOUT_S = 0.2

log = structlog.get_logger(__name__)


def unreachable_domains(domains, entries):
    """Return the failure domains in which no sampled endpoint accepts a connection.

    Parameters
    ----------
    domains : iterable of str
        Failure domains to probe.
    entries : iterable of EndpointEntry
        The known endpoints.
    """
    entries = list(entries)
    probes = {domain: _probe(domain, entries) for domain in domains}
    return {domain for domain, threads in probes.items() if not _any_accepts(threads)}


def _probe(domain, entries):
    addresses = [entry.address for entry in entries if entry.failure_domain == domain]
    sample = random.sample(addresses, min(PROBED_ENDPOINTS, len(addresses)))
    return [eventlet.spawn(_accepts, address) for address in sample]


def _any_accepts(threads):
    return any([thread.wait() for thread in threads])


def _accepts(address):
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), timeout=PROBE_TIMEOUT_S):
            return True
    except OSError as exc:
        log.info("endpoint_probe_failed", address=address, error=str(exc)[:80])
        return False
