"""The platform's list of leaving hosts, polled by one process per failure domain and shared."""

from burdocklug.hosts._watch import HostWatch

__all__ = ["HostWatch"]
