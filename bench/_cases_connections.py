"""Connections per endpoint at the fleet sizes of today and of the target, by count."""

from bench._cases import at_most, cases
from burdocklug.routing import RouteEndpoint, RouteMember, ServiceRouter

SIZES = ((7, 24, 3), (50, 600, 4))  # processes, endpoints, failure domains
SLOTS = 8
MAX_CONNECTIONS = 64


def _saturate(processes, endpoints, domains):
    """Let every process want more than all slots; return the leases held per endpoint."""
    routes = [RouteEndpoint(f"e{n}", f"d{n % domains}", SLOTS) for n in range(endpoints)]
    members = [RouteMember(f"p{n}", f"d{n % domains}") for n in range(processes)]
    routers = {
        member.incarnation: ServiceRouter(
            service="s", incarnation=member.incarnation, failure_domain=member.failure_domain
        )
        for member in members
    }
    for router in routers.values():
        router.update(0.0, routes, members)
    post = []
    held = {route.name: set() for route in routes}
    for step in range(20):
        now_s = 1.0 + 0.05 * step
        for name, router in routers.items():
            leases, out = router.acquire_leases(now_s, endpoints * SLOTS)
            for lease in leases:
                held[lease.endpoint].add((name, lease.lease_id))
            post += [(name, item) for item in out]
        while post:
            sender, item = post.pop()
            out = routers[item.to].receive(now_s, sender, item.message)
            post += [(item.to, answer) for answer in out]
    return held


@cases.register("connections")
def connections():
    """Count leases: a start takes one, so they bound the connections in use."""
    for processes, endpoints, domains in SIZES:
        held = _saturate(processes, endpoints, domains)
        most = max(len(leases) for leases in held.values())
        total = sum(len(leases) for leases in held.values())
        yield at_most(
            f"connections/{processes}_processes_{endpoints}_endpoints",
            most,
            MAX_CONNECTIONS,
            leases=total,
            slots=endpoints * SLOTS,
        )
