"""Finds failure domains whose endpoints obey another scheduler."""

from collections import Counter

__all__ = ["fenced_domains"]

# Share of fenced endpoints of a failure domain from which another scheduler is assumed there; more
# than is sampled to find out whether they have a holder.
FENCED_RATIO = 0.5


def fenced_domains(agents, is_fenced):
    """Return the failure domains in which another scheduler is assumed, as a frozenset.

    Parameters
    ----------
    agents : iterable of EndpointAgent
        The agents of all endpoints.
    is_fenced : callable
        Returns whether the endpoint of an agent counts as fenced.
    """
    agents = list(agents)
    domains = Counter(agent.endpoint.entry.failure_domain for agent in agents)
    fenced = Counter(a.endpoint.entry.failure_domain for a in agents if is_fenced(a))
    return frozenset(d for d, count in fenced.items() if count >= FENCED_RATIO * domains[d])
