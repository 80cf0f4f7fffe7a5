"""From the scheduler's orders to the agents of endpoints."""

__all__ = ["AgentOrders"]


class AgentOrders:
    """Hands the scheduler's orders to the agents of endpoints."""

    def __init__(self):
        self.agents = {}

    def start(self, task, room):
        """Start a task."""
        self.agents[room.entry.endpoint_id].start(task)

    def stop(self, task, room):
        """Stop a task."""
        agent = self.agents.get(room.entry.endpoint_id)
        if agent is not None:
            agent.stop(task)
