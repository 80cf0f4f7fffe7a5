"""The endpoint protocol: starting, asking after and cancelling attempts."""

from burdocklug.endpoints._http import HttpEndpoints
from burdocklug.endpoints._models import (
    Attempt,
    AttemptPhase,
    AttemptResult,
    AttemptState,
    EndpointSilent,
    EndpointStatus,
    MaybeStarted,
    NotStarted,
)
from burdocklug.endpoints._protocol import EndpointProtocol, endpoint_protocols

__all__ = [
    "Attempt",
    "AttemptPhase",
    "AttemptResult",
    "AttemptState",
    "EndpointProtocol",
    "EndpointSilent",
    "EndpointStatus",
    "HttpEndpoints",
    "MaybeStarted",
    "NotStarted",
    "endpoint_protocols",
]
