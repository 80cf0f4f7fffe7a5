"""HTTP listeners: routing, size and time limits of requests, error responses, the server."""

from burdocklug.web._budget import ClientBudget
from burdocklug.web._connection import ConnectionWatch
from burdocklug.web._part import max_caller_connections
from burdocklug.web._protocol import ConnectionLimits
from burdocklug.web._routes import (
    Application,
    Request,
    Response,
    RouteTable,
    error_response,
    json_response,
)
from burdocklug.web._server import HttpListener

__all__ = [
    "Application",
    "ClientBudget",
    "ConnectionLimits",
    "ConnectionWatch",
    "HttpListener",
    "Request",
    "Response",
    "RouteTable",
    "error_response",
    "json_response",
    "max_caller_connections",
]
