"""State that a process hands over on graceful shutdown to the next process of its name."""

from dataclasses import dataclass

__all__ = ["LentShare", "QuotaHandover"]


@dataclass(frozen=True, slots=True)
class LentShare:
    """A loan that was granted before the shutdown and may still be in use by its borrower."""

    team: str
    amount: int
    remaining_s: float  # time until the lender may use it again without a return


@dataclass(frozen=True, slots=True)
class QuotaHandover:
    """State that a process hands over on graceful shutdown to its successor of the same name.

    Parameters
    ----------
    withheld_s : float
        Time for which the base shares must not be used yet, in seconds.
    lent : tuple of LentShare
        Granted loans that have neither been returned nor expired.
    """

    withheld_s: float = 0.0
    lent: tuple = ()
