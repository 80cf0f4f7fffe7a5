"""Messages between processes about submissions and the handover of ledgers."""

import msgspec

__all__ = [
    "AwaitJob",
    "CancelJob",
    "HandOver",
    "HandOverCommit",
    "HandOverDone",
    "JobReply",
    "RecordCopy",
    "SessionCopy",
    "SubmitJob",
]


class SubmitJob(msgspec.Struct, tag="submit_job", frozen=True, array_like=True):
    """Ask the owner of a key to run a submission; `body` is the JSON sent by the caller."""

    key: str
    body: bytes
    wait_s: float


class AwaitJob(msgspec.Struct, tag="await_job", frozen=True, array_like=True):
    """Ask the owner of a key for its answer, waiting up to `wait_s` seconds for the job to end."""

    key: str
    wait_s: float


class CancelJob(msgspec.Struct, tag="cancel_job", frozen=True, array_like=True):
    """Ask the owner of a key to cancel its job."""

    key: str


class JobReply(msgspec.Struct, tag="job_reply", frozen=True, array_like=True):
    """Reply of the owner to `SubmitJob`, `AwaitJob` or `CancelJob`."""

    status: int
    body: bytes
    done: bool
    retry_after_s: float | None = None


class RecordCopy(msgspec.Struct, frozen=True, array_like=True):
    """A finished record of a ledger that is being handed over."""

    sequence: int
    digest: bytes | None
    status: int
    answer: bytes


class SessionCopy(msgspec.Struct, frozen=True, array_like=True):
    """A session of a ledger that is being handed over, with some or all of its records."""

    session: str
    low_water_mark: int
    records: list[RecordCopy]


class HandOver(msgspec.Struct, tag="hand_over", frozen=True, array_like=True):
    """Part of the ledger of a process that is shutting down, staged until the commit."""

    sessions: list[SessionCopy]
    caller_key_records: list[tuple[str, RecordCopy]]


class HandOverCommit(msgspec.Struct, tag="hand_over_commit", frozen=True, array_like=True):
    """Make the receiver the owner of the staged ledger; the sender starts no further jobs."""


class HandOverDone(msgspec.Struct, tag="hand_over_done", frozen=True, array_like=True):
    """Reply to `HandOver` or `HandOverCommit` with the number of sessions staged or adopted."""

    sessions: int
