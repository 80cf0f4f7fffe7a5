"""Tables of the documentation that come from the code: error kinds, settings, peer messages.

``python -m tools.reference`` writes them between the markers of docs/OPERATIONS.md and
docs/INTERFACES.md; a test compares them.
"""

import importlib
import types
import typing
from pathlib import Path

import msgspec

from burdocklug.kernel import ANSWERS, ErrorKind, Settings
from burdocklug.kernel._settings import without_none

__all__ = ["ACTIONS", "PAGES", "error_rows", "message_rows", "replace_tables", "setting_rows"]

DOCS = Path(__file__).resolve().parent.parent / "docs"
MESSAGE_MODULES = (
    "burdocklug.peers._codec",
    "burdocklug.peers._gossip",
    "burdocklug.tickets._messages",
    "burdocklug.hosts._messages",
    "burdocklug.jobs._messages",
    "burdocklug.routing._messages",
    "burdocklug.limits._messages",
    "burdocklug.pools._messages",
    "burdocklug.pools._configuration_messages",
    "burdocklug.pools.cells._network",
)

ACTIONS = {
    ErrorKind.BAD_REQUEST: "mend the request at `path`",
    ErrorKind.BODY_TOO_LARGE: "send smaller jobs",
    ErrorKind.SLOW_SENDER: "send again; look at the caller's network",
    ErrorKind.HEADERS_TOO_LARGE: "send fewer or shorter headers",
    ErrorKind.SERVER_BUSY: "send again after `retry_after_s`; see `client_refused` in the log",
    ErrorKind.METHOD_NOT_ALLOWED: "mend the request",
    ErrorKind.NOT_FOUND: "check the key; a delayed first attempt may still arrive",
    ErrorKind.UNAUTHORIZED: "use the operator token of this process's settings",
    ErrorKind.KEY_CONFLICT: "a key names one body; use a new key for another",
    ErrorKind.KEY_EXPIRED: "look at the outcome elsewhere before sending it under a new key",
    ErrorKind.SESSION_UNKNOWN: "open a session; the outcome of the old keys is not known",
    ErrorKind.OWNER_LOST: "the process that owned the key is gone or cut off; ask again later",
    ErrorKind.CLAIM_UNCERTAIN: "send again under the same key",
    ErrorKind.SERVICE_UNKNOWN: "check the name; apply a ticket with the service",
    ErrorKind.TEAM_UNKNOWN: "check the name; apply a ticket with the team",
    ErrorKind.TASK_IMPOSSIBLE: "no endpoint can ever hold it; the message names the limit",
    ErrorKind.QUEUE_FULL: "send again under a new key after `retry_after_s`",
    ErrorKind.WOULD_MISS_DEADLINE: "send again later, or with a longer deadline",
    ErrorKind.SHUTTING_DOWN: "send again under a new key; another process takes it",
    ErrorKind.NO_CONFIGURATION: "this process reached neither the platform nor a peer",
    ErrorKind.NO_ENDPOINT: "every endpoint of the service is leaving, ejected or missing",
    ErrorKind.NAME_HELD: "two processes run under one name of the fleet; stop one of them",
    ErrorKind.NO_SCHEDULER: "send again; if it lasts, see `following` in the state dump",
    ErrorKind.FIELD_NOT_SERVED: "leave the field at `path` out; this version does not serve it",
    ErrorKind.DEADLINE_EXCEEDED: "look at the outcome; raise the deadline",
    ErrorKind.CANCELLED: "somebody cancelled the job",
    ErrorKind.TASK_FAILED: "the task itself failed; `task` is its index",
    ErrorKind.OUTCOME_UNKNOWN: "an endpoint may have run a task; look at the outcome there",
    ErrorKind.TICKET_SUPERSEDED: "a later ticket holds everything; nothing to do",
    ErrorKind.TICKET_CONFLICT: "another ticket has this number; take a higher one",
    ErrorKind.TICKET_TOO_OLD: "take a higher number",
    ErrorKind.TICKET_TOO_LARGE: "remove objects first; the message names the sizes",
    ErrorKind.TICKET_UNCERTAIN: "apply the same ticket again",
    ErrorKind.PLATFORM_UNAVAILABLE: "apply again once the platform is back",
    ErrorKind.PEER_UNREACHABLE: "check the address; the process may be down",
    ErrorKind.SETTINGS_INVALID: "mend every line that is listed",
    ErrorKind.INTERNAL: "report it with the log line",
}


def error_rows():
    """Yield the rows of the table of error kinds."""
    yield "| kind | HTTP | exit | ran | retry after s | what to do |"
    yield "|---|---|---|---|---|---|"
    for kind in ErrorKind:
        answer = ANSWERS[kind]
        after = "" if answer.retry_after_s is None else f"{answer.retry_after_s:g}"
        cells = (f"`{kind}`", answer.http_status, answer.exit_code, answer.ran, after)
        yield "| " + " | ".join(map(str, cells)) + f" | {ACTIONS[kind]} |"


def setting_rows(model=Settings, prefix=""):
    """Yield the rows of the table of settings."""
    if not prefix:
        yield "| setting | form | default |"
        yield "|---|---|---|"
    for field in msgspec.structs.fields(model):
        path = f"{prefix}{field.name}"
        kind = without_none(field.type)
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            yield from setting_rows(kind, f"{path}.")
            continue
        yield f"| `{path}` | {_form(field.type)} | {_default(field)} |"


def message_rows():
    """Yield the rows of the table of messages between processes and of their parts."""
    yield "| package | message | tag | fields | what it says |"
    yield "|---|---|---|---|---|"
    for name in MESSAGE_MODULES:
        package = name.split(".")[1]
        for model in vars(importlib.import_module(name)).values():
            if isinstance(model, type) and issubclass(model, msgspec.Struct):
                if model.__module__ == name:
                    yield _message_row(package, model)


def _message_row(package, model):
    tag = model.__struct_config__.tag
    fields = ", ".join(f"`{field}`" for field in model.__struct_fields__)
    cells = (package, f"`{model.__name__}`", "" if tag is None else f"`{tag}`", fields)
    return "| " + " | ".join(cells) + f" | {model.__doc__.splitlines()[0]} |"


def _form(kind):
    if typing.get_origin(kind) is typing.Annotated:
        inner, meta = typing.get_args(kind)[:2]
        return _annotated(_form(inner), meta)
    if typing.get_origin(kind) is list:
        return f"list of {_form(typing.get_args(kind)[0])}"
    if typing.get_origin(kind) is typing.Literal:
        return " or ".join(typing.get_args(kind))
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        return " or ".join(_form(arg) for arg in typing.get_args(kind) if arg is not type(None))
    return {str: "text", float: "number", int: "whole number"}.get(kind, str(kind))


def _annotated(form, meta):
    if meta.pattern is not None:
        return "`IP:port`" if r"\d" in meta.pattern else "name: small letters, digits, hyphens"
    if meta.min_length is not None:
        return f"{form}, {meta.min_length} characters or more"
    if meta.gt is not None:
        return f"{form} over {meta.gt}, {meta.le} at most"
    return f"{form}, {meta.ge} or more"


def _default(field):
    if field.required:
        return "required"
    if field.default_factory is not msgspec.NODEFAULT:
        return "empty"
    return "none" if field.default is None else f"{field.default}"


PAGES = {
    DOCS / "OPERATIONS.md": {"errors": error_rows, "settings": setting_rows},
    DOCS / "INTERFACES.md": {"messages": message_rows},
}


def replace_tables(text, tables):
    """Return the page `text` with its tables, row functions by name, written anew."""
    for name, rows in tables.items():
        begin, end = f"<!-- {name} -->\n", f"<!-- end {name} -->"
        head, _, rest = text.partition(begin)
        _, _, tail = rest.partition(end)
        text = head + begin + "\n".join(rows()) + "\n" + end + tail
    return text


if __name__ == "__main__":
    for page, page_tables in PAGES.items():
        page.write_text(replace_tables(page.read_text(encoding="utf-8"), page_tables), "utf-8")
