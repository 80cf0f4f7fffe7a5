"""Error kinds, registries, parts, timers, settings, logs; imports no other burdocklug package."""

from burdocklug.kernel._decoding import MalformedValue, decode_json
from burdocklug.kernel._error_body import encode_error_body
from burdocklug.kernel._errors import (
    ANSWERS,
    BurdocklugError,
    ErrorAnswer,
    ErrorKind,
    Ran,
    answer_for,
)
from burdocklug.kernel._logs import configure_logs
from burdocklug.kernel._parts import Process, build_parts, builders_of, part, parts
from burdocklug.kernel._registry import Registry
from burdocklug.kernel._settings import (
    JobSettings,
    ListenSettings,
    PeerSettings,
    PlatformSettings,
    PoolSettings,
    ProcessSettings,
    Settings,
    SettingsError,
    check_settings,
    load_settings,
)
from burdocklug.kernel._timers import Subscription, TimerService

__all__ = [
    "ANSWERS",
    "BurdocklugError",
    "ErrorAnswer",
    "ErrorKind",
    "JobSettings",
    "ListenSettings",
    "MalformedValue",
    "PeerSettings",
    "PlatformSettings",
    "PoolSettings",
    "Process",
    "ProcessSettings",
    "Ran",
    "Registry",
    "Settings",
    "SettingsError",
    "Subscription",
    "TimerService",
    "answer_for",
    "build_parts",
    "builders_of",
    "check_settings",
    "configure_logs",
    "decode_json",
    "encode_error_body",
    "load_settings",
    "part",
    "parts",
]
