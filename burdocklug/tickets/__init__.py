"""Change tickets: models, merge, and the configuration in force in this process."""

from burdocklug.tickets._codec import (
    MAX_VALUE_BYTES,
    ValueUnreadable,
    decode_value,
    encode_value,
    value_digest,
)
from burdocklug.tickets._configuration import Configuration
from burdocklug.tickets._merge import (
    ConfigValue,
    ObjectVersion,
    Outcome,
    OutcomeKind,
    apply_ticket,
    join,
    refusal,
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

__all__ = [
    "MAX_VALUE_BYTES",
    "ConfigValue",
    "Configuration",
    "EndpointSet",
    "EndpointState",
    "ObjectVersion",
    "Outcome",
    "OutcomeKind",
    "ServiceState",
    "TeamState",
    "Ticket",
    "TicketInvalid",
    "ValueUnreadable",
    "apply_ticket",
    "decode_value",
    "encode_value",
    "join",
    "parse_ticket",
    "refusal",
    "ticket_digest",
    "ticket_from_data",
    "value_digest",
]
