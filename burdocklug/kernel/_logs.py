"""Structured logs: one JSON object per line on standard error."""

import logging
import sys

import structlog

__all__ = ["configure_logs"]

SECRET_FIELDS = frozenset({"token", "operator_token", "shared_key", "authorization"})


def _redact_secrets(_logger, _method, event):
    for name in SECRET_FIELDS.intersection(event):
        event[name] = "[redacted]"
    return event


def configure_logs(*, level="info", process=None, stream=None):
    """Set up structlog for this process.

    Parameters
    ----------
    level : str
        Lowest level that is written: debug, info, warning or error.
    process : str, optional
        Name of the process, added to each line.
    stream : file, optional
        Stream to write to; standard error by default.
    """

    def add_process(_logger, _method, event):
        if process is not None:
            event["process"] = process
        return event

    structlog.configure(
        processors=[
            add_process,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _redact_secrets,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
