"""The process part that handles change tickets."""

import msgspec

from burdocklug.kernel import part
from burdocklug.tickets._configuration import Configuration
from burdocklug.tickets._parse import parse_ticket
from burdocklug.tickets._service import TicketService
from burdocklug.tickets._spread import TicketReplicator

__all__ = ["TicketsPart"]


class TicketsPart:
    """Configuration in force, its replication, and the operators' calls on change tickets.

    Parameters
    ----------
    process : Process
        The process, with the parts that this one needs.
    """

    def __init__(self, process):
        settings = process.settings.process
        self.configuration = Configuration()
        self.spread = TicketReplicator(
            self.configuration,
            process["platform"],
            process["peers"],
            process.timers,
            failure_domain=settings.failure_domain,
        )
        self.service = TicketService(
            process["platform"],
            self.spread,
            process["peers"],
            process.timers,
            name=settings.name,
        )

    def start(self):
        """Start to follow the store and the peers."""
        self.spread.start()

    def stop(self):
        """Start no further call to the store."""
        self.spread.stop()

    def parse_and_apply(self, text):
        """Parse a ticket and apply it; see `TicketService.apply`."""
        return self.service.apply(parse_ticket(text))

    def reach(self, number):
        """Return the processes in which a ticket is in force; see `TicketService.reach`."""
        return self.service.reach(number)

    def show(self):
        """Return all objects in force with their ticket numbers and states, as plain data."""
        objects = self.configuration.value.objects
        return {
            "digest": self.configuration.digest.hex(),
            "objects": {
                name: {"number": version.number, "state": msgspec.to_builtins(version.state)}
                for name, version in sorted(objects.items())
            },
        }

    def dump(self):
        """Return the state of the replication as plain data, for the state dump."""
        return self.spread.dump()


@part("tickets", needs=("platform", "peers"))
def build_tickets(process):
    """Return the tickets part of a process."""
    return TicketsPart(process)
