"""JSON body of every error answer, the same on all listeners."""

import msgspec

from burdocklug.kernel._errors import ErrorKind, Ran

__all__ = ["encode_error_body"]


class _Error(msgspec.Struct, omit_defaults=True):
    kind: str
    message: str
    ran: str
    path: str | None = None
    retry_after_s: float | None = None
    task: int | None = None


class _Body(msgspec.Struct):
    job: str | None
    state: str
    error: _Error


_encode = msgspec.json.Encoder().encode


def encode_error_body(exc, *, job=None, ran=None, task=None):
    """Return the JSON body of the answer to a request that failed with `exc`.

    Parameters
    ----------
    exc : BurdocklugError
        The error to encode.
    job : str, optional
        Key of the job.
    ran : Ran, optional
        Whether any task was started; ``exc.ran`` by default.
    task : int, optional
        Index of the task that failed.

    Returns
    -------
    bytes
        JSON with ``job``, ``state`` and ``error``. The state is "refused" if no task was started
        and the job was not cancelled, else "failed".

    Examples
    --------
    >>> from burdocklug.kernel import BurdocklugError
    >>> exc = BurdocklugError(ErrorKind.QUEUE_FULL, "40 tasks wait, 40 at most")
    >>> msgspec.json.decode(encode_error_body(exc))["state"]
    'refused'
    """
    ran = Ran(exc.ran if ran is None else ran)
    refused = ran is Ran.NO and exc.kind is not ErrorKind.CANCELLED
    error = _Error(str(exc.kind), exc.message, str(ran), exc.path, exc.retry_after_s, task)
    return _encode(_Body(job, "refused" if refused else "failed", error))
