"""Change tickets: models, parsing, merge and replication, and the configuration in force."""

from burdocklug.tickets._codec import (
    ConfigDecodeError,
    decode_value,
    encode_value,
    value_digest,
)
from burdocklug.tickets._configuration import Configuration
from burdocklug.tickets._follow import CONFIGURATION_KEY
from burdocklug.tickets._merge import (
    ConfigValue,
    ObjectVersion,
    Outcome,
    OutcomeKind,
    apply_ticket,
    join,
    refusal_error,
)
from burdocklug.tickets._models import (
    EndpointSet,
    EndpointState,
    ServiceState,
    TeamState,
    Ticket,
    ticket_digest,
)
from burdocklug.tickets._parse import TicketInvalid, parse_ticket, ticket_from_data
from burdocklug.tickets._service import TicketAnswer, TicketService, TicketView
from burdocklug.tickets._spread import TicketReplicator
from burdocklug.tickets._wait import ProcessReach, TicketReach

__all__ = [
    "CONFIGURATION_KEY",
    "ConfigValue",
    "Configuration",
    "EndpointSet",
    "EndpointState",
    "ObjectVersion",
    "Outcome",
    "OutcomeKind",
    "ProcessReach",
    "ServiceState",
    "TeamState",
    "Ticket",
    "TicketAnswer",
    "TicketInvalid",
    "TicketService",
    "TicketReplicator",
    "TicketView",
    "ConfigDecodeError",
    "TicketReach",
    "apply_ticket",
    "decode_value",
    "encode_value",
    "join",
    "parse_ticket",
    "refusal_error",
    "ticket_digest",
    "ticket_from_data",
    "value_digest",
]
