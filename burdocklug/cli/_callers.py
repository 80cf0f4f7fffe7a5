"""Commands for callers: submit, status, cancel."""

from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import Parameter

from burdocklug.cli._output import print_json, print_rows
from burdocklug.client import Client
from burdocklug.kernel import BurdocklugError, ErrorKind

__all__ = ["cancel", "status", "submit"]

Addresses = Annotated[
    list[str], Parameter(name=["--address", "-a"], env_var="BURDOCKLUG_ADDRESS", negative="")
]


def submit(
    service: str,
    *,
    team: str,
    address: Addresses,
    payload: list[str] | None = None,
    file: Path | None = None,
    declared_s: float = 1.0,
    deadline_s: float = 60.0,
    key: str | None = None,
    json: bool = False,
):
    """Submit a job and print its results.

    Example: ``burdocklug submit press-control --team vat -a 127.0.0.1:8001 --payload 4``

    Parameters
    ----------
    service
        Service that runs the job.
    team
        Team whose quota the job counts against.
    address
        IP:port of an entry host or the balancer; may be given several times.
    payload
        JSON payload of one task; repeat the option for each task.
    file
        JSON file with a list of payloads.
    declared_s
        Declared run time of each task, in seconds.
    deadline_s
        Deadline of the job, in seconds from now.
    key
        Idempotency key of the form <UTC time>-<text>; by default a key of a new session.
    json
        Print JSON.
    """
    tasks = [{"payload": item, "declared_s": declared_s} for item in _payloads(payload, file)]
    client = Client(address, team=team)
    outcome = client.submit(service, tasks, deadline_s=deadline_s, key=key)
    if json:
        print_json({"job": outcome.key, "state": "complete", "results": outcome.results})
        return
    print(f"job {outcome.key} complete, {len(outcome.results)} results")
    rows = (
        (index, msgspec.json.encode(value).decode()) for index, value in _numbered_results(outcome)
    )
    print_rows(["task", "result"], rows)


def _numbered_results(outcome):
    return enumerate(outcome.results)


def _payloads(payload, file):
    try:
        payloads = [msgspec.json.decode(text) for text in payload or []]
        if file is not None:
            payloads += msgspec.json.decode(file.read_bytes(), type=list)
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as exc:
        raise BurdocklugError(ErrorKind.BAD_REQUEST, f"payload: {exc}") from exc
    if not payloads:
        raise BurdocklugError(ErrorKind.BAD_REQUEST, "no payload: give --payload or --file")
    return payloads


def status(key: str, *, address: Addresses, wait_s: float = 0.0):
    """Print the state of a job as JSON.

    Example: ``burdocklug status KEY -a 127.0.0.1:8001 --wait-s 5``

    Parameters
    ----------
    key
        The job's key.
    address
        IP:port of an entry host or the balancer.
    wait_s
        Longest time to wait for the job's end, in seconds.
    """
    print_json(Client(address, team="").status(key, wait_s=wait_s))


def cancel(key: str, *, address: Addresses):
    """Cancel a job and print its state as JSON.

    Example: ``burdocklug cancel KEY -a 127.0.0.1:8001``

    Parameters
    ----------
    key
        The job's key.
    address
        IP:port of an entry host or the balancer.
    """
    print_json(Client(address, team="").cancel(key))
