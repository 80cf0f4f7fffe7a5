"""A member of the fleet as one process knows it."""

import enum
from dataclasses import dataclass

__all__ = ["Member", "MemberState"]


class MemberState(enum.StrEnum):
    """How far a member is trusted to be there."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"

    @property
    def is_living(self):
        """Whether the member has not ended as far as is known; it may not be reached."""
        return self in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class Member:
    """What other packages see of a member.

    Parameters
    ----------
    incarnation, name, address, failure_domain : str
        Who it is.
    state : MemberState
        How far it is trusted to be there.
    successor : str or None
        The incarnation that took over when it left.
    draining : bool
        Whether it takes no new work.
    """

    incarnation: str
    name: str
    address: str
    failure_domain: str
    state: MemberState
    successor: str | None = None
    draining: bool = False

    @property
    def takes_work(self):
        """Whether the member is reached and does not shut down."""
        return self.state is MemberState.ALIVE and not self.draining
