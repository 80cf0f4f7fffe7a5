"""A member of the fleet, as seen by one process."""

import enum
from dataclasses import dataclass

__all__ = ["Member", "MemberState"]


class MemberState(enum.StrEnum):
    """State of a member, as seen by one process."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"

    @property
    def is_alive_or_suspect(self):
        """Whether the member has neither died nor left; a suspect member may be unreachable."""
        return self in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class Member:
    """A member and its state at the time of the query.

    Parameters
    ----------
    incarnation, name, address, failure_domain : str
        Identity of the member.
    state : MemberState
        Its state, as seen by this process.
    successor : str or None
        Incarnation that took over its state when it left.
    draining : bool
        Whether it drains and accepts no new work.
    """

    incarnation: str
    name: str
    address: str
    failure_domain: str
    state: MemberState
    successor: str | None = None
    draining: bool = False

    @property
    def accepts_work(self):
        """Whether the member is alive and not draining."""
        return self.state is MemberState.ALIVE and not self.draining
