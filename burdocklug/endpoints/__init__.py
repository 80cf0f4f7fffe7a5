"""The endpoint protocol: starting, querying and cancelling attempts; health of endpoints."""

from burdocklug.endpoints._cancel import CancelBatcher
from burdocklug.endpoints._connections import ConnectionPool, exchange
from burdocklug.endpoints._health import EndpointHealth, Outcome, OutcomeKind
from burdocklug.endpoints._health_rules import Fault, HealthState
from burdocklug.endpoints._http import HttpEndpoints
from burdocklug.endpoints._models import (
    Attempt,
    AttemptPhase,
    AttemptResult,
    AttemptState,
    EndpointStatus,
    EndpointUnresponsive,
    MaybeStarted,
    NotStarted,
)
from burdocklug.endpoints._protocol import EndpointProtocol, endpoint_protocols
from burdocklug.endpoints._watched import AnswerTimeout

__all__ = [
    "AnswerTimeout",
    "ConnectionPool",
    "Attempt",
    "AttemptPhase",
    "AttemptResult",
    "AttemptState",
    "CancelBatcher",
    "EndpointHealth",
    "EndpointProtocol",
    "EndpointUnresponsive",
    "EndpointStatus",
    "Fault",
    "HttpEndpoints",
    "MaybeStarted",
    "NotStarted",
    "Outcome",
    "OutcomeKind",
    "HealthState",
    "endpoint_protocols",
    "exchange",
]
