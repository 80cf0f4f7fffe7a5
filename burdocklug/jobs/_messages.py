"""Messages between processes about submissions."""

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
    """Ask the owner of a key to run a submission; `body` is the caller's JSON."""

    key: str
    body: bytes
    wait_s: float


class AwaitJob(msgspec.Struct, tag="await_job", frozen=True, array_like=True):
    """Ask the owner of a key for its state, waiting up to `wait_s` seconds for the end."""

    key: str
    wait_s: float


class CancelJob(msgspec.Struct, tag="cancel_job", frozen=True, array_like=True):
    """Ask the owner of a key to cancel its job."""

    key: str


class JobReply(msgspec.Struct, tag="job_reply", frozen=True, array_like=True):
    """The owner's answer to any of the three requests."""

    status: int
    body: bytes
    done: bool
    retry_after_s: float | None = None


class RecordCopy(msgspec.Struct, frozen=True, array_like=True):
    """A finished record of a ledger that is handed over."""

    sequence: int
    digest: bytes | None
    status: int
    answer: bytes


class SessionCopy(msgspec.Struct, frozen=True, array_like=True):
    """A session of a ledger that is handed over."""

    session: str
    mark: int
    records: list[RecordCopy]


class HandOver(msgspec.Struct, tag="hand_over", frozen=True, array_like=True):
    """Sessions and claims of a process that shuts down, for its successor."""

    sessions: list[SessionCopy]
    claims: list[tuple[str, RecordCopy]]


class HandOverCommit(msgspec.Struct, tag="hand_over_commit", frozen=True, array_like=True):
    """The sender has copied everything and starts nothing more; the receiver owns it now."""


class HandOverDone(msgspec.Struct, tag="hand_over_done", frozen=True, array_like=True):
    """The successor holds everything of one `HandOver` message, or owns all of them."""

    sessions: int
