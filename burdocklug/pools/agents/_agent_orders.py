"""Dispatch of the scheduler's orders to the agents of endpoints."""

__all__ = ["AgentOrders"]


class AgentOrders:
    """Dispatches the scheduler's orders to the agents of endpoints, by endpoint id."""

    def __init__(self):
        self.agents = {}
        self.closed_agents = []  # those whose leases have not expired yet

    def start(self, task, endpoint):
        """Start a task on an endpoint."""
        self.agents[endpoint.entry.endpoint_id].start(task)

    def disown(self, task, endpoint_id):
        """Drop the order of a task that runs on another endpoint, and stop a run of it there."""
        for agent in (*self.agents.values(), *self.closed_agents):
            if agent.endpoint.entry.endpoint_id == endpoint_id:
                agent.disown(task)

    def stop(self, task, endpoint):
        """Stop a task on an endpoint; does nothing if the endpoint has no agent."""
        agent = self.agents.get(endpoint.entry.endpoint_id)
        if agent is not None:
            agent.stop(task)
