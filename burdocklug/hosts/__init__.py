"""Leaving hosts: the platform's list, polled by one process of each failure domain and spread."""

from burdocklug.hosts._watch import HostWatch

__all__ = ["HostWatch"]
