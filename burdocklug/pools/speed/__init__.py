"""How long runs take: endpoints that are cold after their start."""

from burdocklug.pools.speed._cold import ColdPace, cold_extra_s

__all__ = ["ColdPace", "cold_extra_s"]
