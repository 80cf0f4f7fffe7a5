"""Passes the operators' view (configuration and evacuations) and the plan between processes."""

import eventlet
import structlog

from burdocklug.peers import PeerOutcomeUnknown, PeerUnreachable
from burdocklug.pools._messages import ConfigurationReply, ConfigurationRequest

__all__ = ["ConfigurationExchange"]

FETCH_TIMEOUT_S = 0.5  # timeout of a request for a peer's configuration

log = structlog.get_logger(__name__)


class ConfigurationExchange:
    """Replies with this process's configuration, evacuations and plan, and fetches newer ones.

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
    """

    def __init__(self, network, timers, directory, registry):
        self._network = network
        self._timers = timers
        self._directory = directory
        self._registry = registry
        self._is_fetching = False
        network.register(ConfigurationReply)
        network.register(ConfigurationRequest, self._on_request, inline=True)

    def _on_request(self, _sender, _message):
        directory = self._directory
        return ConfigurationReply(
            directory.configuration, directory.evacuation_view, self._registry.plan
        )

    def fetch(self, peer):
        """Fetch what a peer knows in the background.

        This process may not reach the store that the peer has it from.
        """
        if not self._is_fetching:
            self._is_fetching = True
            eventlet.spawn(self._run_fetch, peer)

    def _run_fetch(self, peer):
        began_s = self._timers.now()
        try:
            reply = self._network.call(peer, ConfigurationRequest(), timeout_s=FETCH_TIMEOUT_S)
            directory = self._directory
            self._registry.take_plan(reply.plan)
            directory.take_configuration(reply.configuration, source=peer, now_s=self._timers.now())
            directory.take_evacuations(
                directory.evacuation_view.merge(reply.evacuations),
                source=peer,
                age_s=directory.configuration_age.known_age_s(self._timers.now()),
            )
        except (PeerUnreachable, PeerOutcomeUnknown) as exc:
            now = self._timers.now()
            log.info(
                "configuration_not_fetched",
                peer=peer,
                error=str(exc)[:120],
                after_s=round(now - began_s, 3),
                behind_s=round(self._directory.version_lag.behind_s(now), 3),
            )
        finally:
            self._is_fetching = False
