"""Messaging between the processes of a fleet, and fleet membership."""

from burdocklug.peers._codec import MessageTypes
from burdocklug.peers._errors import MessageTooLarge, PeerOutcomeUnknown, PeerUnreachable
from burdocklug.peers._incarnation import address_of, mint_incarnation, started_ns
from burdocklug.peers._member import Member, MemberState
from burdocklug.peers._network import PeerNetwork
from burdocklug.peers._topology import choose_platform_reader

__all__ = [
    "Member",
    "MemberState",
    "MessageTooLarge",
    "MessageTypes",
    "PeerNetwork",
    "PeerUnreachable",
    "PeerOutcomeUnknown",
    "address_of",
    "choose_platform_reader",
    "mint_incarnation",
    "started_ns",
]
