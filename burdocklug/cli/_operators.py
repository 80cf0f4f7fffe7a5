"""Commands for operators: change tickets, state, draining, settings."""

import time
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec
import urllib3
import yaml
from cyclopts import Parameter

from burdocklug.cli._output import print_fields, print_json, print_rows
from burdocklug.kernel import (
    BurdocklugError,
    ErrorKind,
    SettingsError,
    load_settings,
)

__all__ = ["check_settings", "drain", "endpoints", "state", "ticket_app"]

REQUEST_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.1

Operator = Annotated[
    str, Parameter(name=["--operator", "-o"], env_var="BURDOCKLUG_OPERATOR", negative="")
]
Token = Annotated[str, Parameter(env_var="BURDOCKLUG_TOKEN")]

ticket_app = cyclopts.App(name="ticket", help="Apply and show change tickets.")


def send_operator_request(operator, token, method, path, *, body=None):
    """Send a request to the operators' listener of a process.

    Parameters
    ----------
    operator : str
        Address of the operators' listener, ``IP:port``.
    token : str
        The bearer token.
    method, path : str
        HTTP method and path of the request.
    body : bytes, optional
        JSON body of the request.

    Returns
    -------
    object
        The decoded JSON answer.

    Raises
    ------
    BurdocklugError
        With the error kind of the answer, or ``peer_unreachable`` without a valid answer.
    """
    pool = urllib3.PoolManager(retries=False)
    headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
    try:
        response = pool.request(
            method,
            f"http://{operator}{path}",
            body=body,
            headers=headers,
            timeout=REQUEST_TIMEOUT_S,
        )
        answer = msgspec.json.decode(response.data)
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
        raise BurdocklugError(
            ErrorKind.PEER_UNREACHABLE, f"{operator}: {type(exc).__name__}: {exc}"
        ) from exc
    if response.status >= 400:
        error = answer["error"]
        raise BurdocklugError(
            ErrorKind(error["kind"]), error["message"], path=error.get("path"), ran=error["ran"]
        )
    return answer


@ticket_app.command
def apply(file: Path, *, operator: Operator, token: Token, json: bool = False):
    """Apply a change ticket from a YAML or JSON file.

    Example: ``burdocklug ticket apply 17.yaml -o 127.0.0.1:8002``

    Applying the same ticket again is safe.

    Parameters
    ----------
    file
        The ticket: number, operator, objects.
    operator
        IP:port of the operators' listener of any process.
    token
        The operator token.
    json
        Print JSON.
    """
    try:
        ticket = yaml.safe_load(file.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as exc:
        raise BurdocklugError(ErrorKind.BAD_REQUEST, f"{file}: {exc}") from exc
    body = msgspec.json.encode(ticket)
    answer = send_operator_request(operator, token, "POST", "/v1/tickets", body=body)
    if json:
        print_json(answer)
        return
    print(f"ticket {answer['number']}: {answer['outcome']}")
    for name in answer.get("superseded", ()):
        print(f"  superseded by a later ticket: {name}")


@ticket_app.command
def show(*, operator: Operator, token: Token, json: bool = False):
    """Print the configuration in force at a process.

    Example: ``burdocklug ticket show -o 127.0.0.1:8002``

    Parameters
    ----------
    operator
        IP:port of the operators' listener.
    token
        The operator token.
    json
        Print JSON.
    """
    answer = send_operator_request(operator, token, "GET", "/v1/configuration")
    if json:
        print_json(answer)
        return
    rows = (
        (name, item["number"], msgspec.json.encode(item["state"]).decode())
        for name, item in sorted(answer["objects"].items())
    )
    print_rows(["object", "ticket", "state"], rows)


@ticket_app.command
def wait(
    number: int, *, operator: Operator, token: Token, timeout_s: float = 9.0, json: bool = False
):
    """Wait until a ticket is in force at every known process.

    Example: ``burdocklug ticket wait 17 -o 127.0.0.1:8002``

    Parameters
    ----------
    number
        The ticket's number.
    operator
        IP:port of the operators' listener.
    token
        The operator token.
    timeout_s
        Longest time to wait, in seconds.
    json
        Print JSON.
    """
    until_s = time.monotonic() + timeout_s
    while True:
        answer = send_operator_request(operator, token, "GET", f"/v1/tickets/{number}")
        if answer["complete"] or time.monotonic() >= until_s:
            break
        time.sleep(POLL_INTERVAL_S)
    if json:
        print_json(answer)
    else:
        print_rows(
            ["process", "failure domain", "in force"],
            ((row["name"], row["failure_domain"], row["in_force"]) for row in answer["processes"]),
        )
        for domain in answer["domains_not_reached"]:
            print(f"failure domain not reached: {domain}")
    if not answer["complete"]:
        raise BurdocklugError(
            ErrorKind.TICKET_UNCERTAIN, f"ticket {number} is not in force everywhere"
        )


def state(*, operator: Operator, token: Token, json: bool = False):
    """Print the state of a process.

    Example: ``burdocklug state -o 127.0.0.1:8002``

    Parameters
    ----------
    operator
        IP:port of the operators' listener.
    token
        The operator token.
    json
        Print JSON.
    """
    answer = send_operator_request(operator, token, "GET", "/v1/state")
    if json:
        print_json(answer)
        return
    print_fields(answer)


def endpoints(*, operator: Operator, token: Token, json: bool = False):
    """Print the endpoints of the configuration in force at a process.

    Example: ``burdocklug endpoints -o 127.0.0.1:8002``

    Parameters
    ----------
    operator
        IP:port of the operators' listener.
    token
        The operator token.
    json
        Print JSON.
    """
    answer = send_operator_request(operator, token, "GET", "/v1/configuration")
    found = [
        {"service": name.partition("/")[2], **endpoint}
        for name, item in sorted(answer["objects"].items())
        if name.startswith("endpoints/") and item["state"]
        for endpoint in item["state"]["endpoints"]
    ]
    if json:
        print_json(found)
        return
    columns = ["service", "name", "address", "failure_domain", "rack", "slots", "accelerators"]
    print_rows(columns, ([row.get(column, "") for column in columns] for row in found))


def drain(*, operator: Operator, token: Token):
    """Tell a process to shut down gracefully.

    Example: ``burdocklug drain -o 127.0.0.1:8002``

    Parameters
    ----------
    operator
        IP:port of the operators' listener.
    token
        The operator token.
    """
    send_operator_request(operator, token, "POST", "/v1/drain")
    print("draining")


def check_settings(file: Path):
    """Check a settings file and print every fault.

    Example: ``burdocklug check-settings freistadt-1.yaml``

    Parameters
    ----------
    file
        The YAML file.
    """
    try:
        load_settings(file)
    except SettingsError as exc:
        for fault in exc.faults:
            print(fault)
        raise SettingsError([f"{len(exc.faults)} faults in {file}"]) from exc
    print(f"{file}: no fault")
