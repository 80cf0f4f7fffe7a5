"""Types of numbers in the platform's messages, with ranges that later arithmetic can hold."""

from typing import Annotated

import msgspec

__all__ = ["Amount", "Duration", "Moment", "Number", "Share"]

MAX_AMOUNT = 2**31 - 1
MAX_DURATION_MS = 1e10  # some months
MAX_NUMBER = 2**63 - 1

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]  # cores, megabytes, slots, tasks
Duration = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]  # milliseconds
Moment = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]  # milliseconds on some clock
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]  # revisions, versions, ends
Share = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]  # factors and percentages
