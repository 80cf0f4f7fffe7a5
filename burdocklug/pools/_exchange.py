"""Passes the operators' view (configuration and evacuations) and the plan between processes."""

from dataclasses import dataclass, field

import eventlet
import structlog

from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.pools._configuration import PoolConfiguration
from burdocklug.pools._configuration_messages import (
    ConfigurationReply,
    ConfigurationRequest,
    VersionNotice,
)
from burdocklug.pools._differences import apply_change, decode_change, difference, encode_change

__all__ = ["ConfigurationExchange"]

PART_TIMEOUT_S = 0.5  # timeout of a request for a part of a change
# Other messages to the same peer wait behind one part at most: 30 ms on a link of 10 Mbit/s.
PART_BYTES = 32_768
MAX_BASES = 16  # versions from which this process knows the difference to its own
MAX_ENCODED = 8  # changes that are kept encoded, for the peers that fetch them part by part

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class _Transfer:
    """A change that arrives part by part from one peer.

    Parameters
    ----------
    peer : str
        The peer.
    known_version : int
        Version in force here, to which the change applies.
    version : int
        Version to which it leads; 0 until the first part has arrived.
    data : bytearray
        The parts so far.
    """

    peer: str
    known_version: int
    version: int = 0
    data: bytearray = field(default_factory=bytearray)

    def add(self, reply):
        """Add a part; the first one of another version replaces what has arrived."""
        if reply.offset == 0:
            self.version, self.data = reply.version, bytearray()
        if reply.version != self.version or reply.offset != len(self.data) or not reply.data:
            raise ValueError(
                f"part at {reply.offset} of version {reply.version}, "
                f"expected {len(self.data)} of {self.version}"
            )
        self.data += reply.data


class ConfigurationExchange:
    """Replies with what a peer lacks of this process's view, and fetches what this one lacks.

    A change is fetched in parts, each by a call of its own: what has arrived is kept when a call
    fails, heartbeats on the same connection wait for one part at most, and nothing that was given
    up is sent on.

    Parameters
    ----------
    network : PeerNetwork
        Network to the other processes.
    timers : TimerService
        Clock.
    directory : Directory
        What this process knows of the operators' requests.
    registry : MemberRegistry
        Has the plan of cells.

    Attributes
    ----------
    part_received_s : float
        When the last part arrived.
    """

    def __init__(self, network, timers, directory, registry):
        self.part_received_s = float("-inf")
        self._network = network
        self._timers = timers
        self._directory = directory
        self._registry = registry
        self._fetching_from = None
        self._next_peer = None
        self._transfer = None
        self._bases = {0: PoolConfiguration()}
        self._encoded = {}  # encoded change by the versions from and to which it leads
        directory.subscribe(self._remember_version)
        network.register(ConfigurationReply)
        network.register(ConfigurationRequest, self._on_request, inline=True)
        network.register(VersionNotice, self._on_notice, inline=True)

    def _remember_version(self):
        configuration = self._directory.configuration
        if configuration.version not in self._bases:
            self._bases[configuration.version] = configuration
            if len(self._bases) > MAX_BASES:
                del self._bases[min(v for v in self._bases if v)]

    def _on_request(self, _sender, message):
        directory = self._directory
        newest = directory.configuration.version
        version, offset, encoded = message.version, message.offset, b""
        if message.known_version < newest:
            if not offset or (message.known_version, version) not in self._encoded:
                version, offset = newest, 0
            encoded = self._encode(message.known_version, version)
        return ConfigurationReply(
            version if encoded else newest,
            offset,
            len(encoded),
            encoded[offset : offset + PART_BYTES],
            newest,
            directory.operators_revision,
            directory.evacuation_view,
            self._registry.plan,
        )

    def _encode(self, known_version, version):
        """Return the encoded change between two versions; whole if the first one is not known."""
        key = known_version, version
        if key not in self._encoded:
            base = self._bases.get(known_version, self._bases[0])
            self._encoded[key] = encode_change(difference(base, self._directory.configuration))
            if len(self._encoded) > MAX_ENCODED:
                del self._encoded[next(iter(self._encoded))]
        return self._encoded[key]

    def announce(self, peers):
        """Tell peers of the version in force here."""
        notice = VersionNotice(self._directory.configuration.version)
        for peer in peers:
            try:
                self._network.send(peer, notice)
            except PeerUnreachable as exc:
                log.info("version_notice_not_sent", peer=peer, error=str(exc)[:120])

    def _on_notice(self, sender, message):
        directory = self._directory
        if message.version > directory.configuration.version:
            directory.note_version(message.version, source=sender, now_s=self._timers.now())
            self.fetch(sender)

    def fetch(self, peer):
        """Fetch what a peer knows in the background, after what is being fetched now.

        This process may not reach the store that the peer has it from.
        """
        if self._fetching_from is None:
            self._fetching_from = peer
            eventlet.spawn(self._run_fetches)
        else:
            self._next_peer = peer

    def _run_fetches(self):
        try:
            while self._fetching_from is not None:
                self._next_peer = None
                self._fetch(self._fetching_from)
                is_behind = self._directory.version_lag.is_behind
                self._fetching_from = self._next_peer if is_behind else None
        finally:
            self._fetching_from = None

    def _fetch(self, peer):
        began_s = self._timers.now()
        try:
            while not self._fetch_part(peer):
                pass
        except (PeerUnreachable, PeerOutcomeUnknown, ValueError) as exc:
            now, transfer = self._timers.now(), self._transfer
            if isinstance(exc, ValueError):
                self._transfer = None
            log.info(
                "configuration_not_fetched",
                peer=peer,
                error=str(exc)[:120],
                after_s=round(now - began_s, 3),
                behind_s=round(self._directory.version_lag.behind_s(now), 3),
                received_bytes=len(transfer.data),
            )

    def _fetch_part(self, peer):
        """Fetch a part, and apply the change if it is complete; return whether nothing is left."""
        known_version, transfer = self._directory.configuration.version, self._transfer
        if transfer is None or (transfer.peer, transfer.known_version) != (peer, known_version):
            transfer = self._transfer = _Transfer(peer, known_version)
        request = ConfigurationRequest(known_version, transfer.version, len(transfer.data))
        reply = self._network.call(peer, request, timeout_s=PART_TIMEOUT_S)
        self.part_received_s = self._timers.now()
        self._take_view(reply, peer)
        if reply.version > self._directory.configuration.version:
            transfer.add(reply)
            if len(transfer.data) < reply.size:
                return False
            self._take_change(transfer)
        self._transfer = None
        self._directory.note_peer_view(
            reply.newest_version, reply.evacuations.digest, reply.operators_revision
        )
        return True

    def _take_view(self, reply, peer):
        directory = self._directory
        self._registry.take_plan(reply.plan)
        directory.take_evacuations(
            directory.evacuation_view.merge(reply.evacuations),
            source=peer,
            age_s=directory.configuration_age.known_age_s(self._timers.now()),
        )

    def _take_change(self, transfer):
        """Apply a complete change, unless another version was taken while it arrived."""
        directory = self._directory
        if directory.configuration.version != transfer.known_version:
            return
        configuration = apply_change(directory.configuration, decode_change(bytes(transfer.data)))
        directory.take_configuration(configuration, source=transfer.peer, now_s=self._timers.now())
