"""What a leaving process hands to the next one of its name."""

from dataclasses import dataclass

__all__ = ["LentShare", "QuotaHandover"]


@dataclass(frozen=True, slots=True)
class LentShare:
    """A loan that a leaving process hands to its successor under the same name."""

    team: str
    amount: int
    left_s: float  # until the lender may count it as its own again


@dataclass(frozen=True, slots=True)
class QuotaHandover:
    """What a leaving process hands to its successor under the same name.

    Parameters
    ----------
    rest_s : float
        How long the base shares still rest, in seconds.
    lent : tuple of LentShare
        Loans that are not over.
    """

    rest_s: float = 0.0
    lent: tuple = ()
