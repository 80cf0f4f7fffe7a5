"""Parses change tickets from JSON or YAML and reports each invalid field by its path."""

import json
import re

import msgspec
import yaml

from burdocklug.kernel import BurdocklugError, ErrorKind, check_settings
from burdocklug.tickets._models import (
    MAX_OBJECTS_PER_TICKET,
    EndpointSet,
    EndpointState,
    Operator,
    Ticket,
    TicketNumber,
    state_model,
)

__all__ = ["TicketInvalid", "parse_ticket", "ticket_from_data"]

MAX_TEXT_BYTES = 1_000_000
MAX_LISTED_FAULTS = 20
MAX_SHOWN_CHARS = 60
OBJECT_NAME = re.compile(r"\A(service|endpoints|team)/[a-z0-9][a-z0-9-]{0,62}\Z")


class TicketInvalid(BurdocklugError):
    """Raised for an invalid ticket.

    Parameters
    ----------
    faults : list of str
        Errors in the form ``path: message``; the path of the first one becomes `path`.
    """

    def __init__(self, faults):
        listed = faults[:MAX_LISTED_FAULTS]
        more = len(faults) - len(listed)
        message = "; ".join(listed) + (f"; and {more} more" if more else "")
        super().__init__(ErrorKind.BAD_REQUEST, message, path=faults[0].partition(": ")[0])
        self.faults = faults


class _StrictLoader(getattr(yaml, "CSafeLoader", yaml.SafeLoader)):
    """YAML loader that rejects duplicate keys and keys that aren't strings."""

    def construct_mapping(self, node, deep=False):
        _check_keys([self.construct_object(key, deep=True) for key, _value in node.value])
        return super().construct_mapping(node, deep=deep)


def _check_keys(keys):
    seen = set()
    for key in keys:
        if not isinstance(key, str):
            raise ValueError(f"key {_excerpt(key)} is not a string")
        if key in seen:
            raise ValueError(f"key {_excerpt(key)} is repeated")
        seen.add(key)


def _json_object(pairs):
    _check_keys([key for key, _value in pairs])
    return dict(pairs)


def _refuse_constant(text):
    raise ValueError(f"{text} is not a number")


def parse_ticket(text):
    """Parse and validate one ticket.

    Parameters
    ----------
    text : str or bytes
        JSON, or else YAML.

    Returns
    -------
    Ticket
        The validated ticket.

    Raises
    ------
    TicketInvalid
        If the text is neither JSON nor YAML, or the ticket is invalid; `faults` lists every error.
    BurdocklugError
        Of kind TICKET_TOO_LARGE, if the text has more than `MAX_TEXT_BYTES` bytes.

    Examples
    --------
    >>> ticket = parse_ticket("{number: 7, operator: ada, objects: {team/vat: null}}")
    >>> ticket.number, ticket.objects
    (7, {'team/vat': None})
    """
    raw = text.encode() if isinstance(text, str) else text
    if len(raw) > MAX_TEXT_BYTES:
        message = f"the ticket has {len(raw)} bytes, more than {MAX_TEXT_BYTES}"
        raise BurdocklugError(ErrorKind.TICKET_TOO_LARGE, message)
    try:
        return ticket_from_data(_load(raw))
    except (ValueError, RecursionError, yaml.YAMLError) as exc:
        fault = " ".join(str(exc).split()) or type(exc).__name__
        raise TicketInvalid([f"$: not readable as JSON or YAML: {fault}"]) from exc


def _load(raw):
    try:
        return json.loads(raw, object_pairs_hook=_json_object, parse_constant=_refuse_constant)
    except json.JSONDecodeError:
        return _load_yaml(raw)


def _load_yaml(raw):
    # Nested aliases let a short text expand to unbounded size.
    if any(isinstance(event, yaml.AliasEvent) for event in yaml.parse(raw, Loader=_StrictLoader)):
        raise ValueError("aliases are not allowed")
    return yaml.load(raw, Loader=_StrictLoader)


def ticket_from_data(data):
    """Validate plain data and return it as a ticket.

    Parameters
    ----------
    data : object
        Data as loaded from JSON or YAML.

    Returns
    -------
    Ticket
        The validated ticket, its endpoint sets sorted by name.

    Raises
    ------
    TicketInvalid
        If the data is not a valid ticket; `faults` lists every error.
    """
    faults = list(_ticket_faults(data))
    if faults:
        raise TicketInvalid(faults)
    objects = {name: _to_state(name, state) for name, state in data["objects"].items()}
    return Ticket(
        number=msgspec.convert(data["number"], TicketNumber),
        operator=data["operator"],
        objects=objects,
    )


def _to_state(name, data):
    if data is None:
        return None
    state = msgspec.convert(data, state_model(name))
    if isinstance(state, EndpointSet):
        return EndpointSet(endpoints=tuple(sorted(state.endpoints, key=lambda e: e.name)))
    return state


class _TicketModel(msgspec.Struct):
    number: TicketNumber
    operator: Operator
    objects: dict[str, object]


def _ticket_faults(data):
    yield from _model_faults(data, _TicketModel, "$")
    objects = data.get("objects") if isinstance(data, dict) else None
    if not isinstance(objects, dict):
        return
    if not 1 <= len(objects) <= MAX_OBJECTS_PER_TICKET:
        yield f"$.objects: {len(objects)} objects, expected 1 to {MAX_OBJECTS_PER_TICKET}"
        return
    for name, state in objects.items():
        path = f"$.objects[{_excerpt(name)}]"
        if not isinstance(name, str) or not OBJECT_NAME.match(name):
            yield f"{path}: expected service/<name>, endpoints/<service> or team/<name>"
        elif state is not None:
            yield from _state_faults(state, state_model(name), path)


def _state_faults(data, model, path):
    if model is not EndpointSet:
        yield from _model_faults(data, model, path)
        return
    endpoints = data.get("endpoints") if isinstance(data, dict) else None
    if not isinstance(endpoints, list):
        yield from _model_faults(data, model, path)
        return
    found = False
    for index, endpoint in enumerate(endpoints):
        for fault in _model_faults(endpoint, EndpointState, f"{path}.endpoints[{index}]"):
            found = True
            yield fault
    if not found:
        yield from _model_faults(data, model, path)
        yield from _duplicate_faults(endpoints, f"{path}.endpoints")


def _duplicate_faults(endpoints, path):
    for field in ("name", "address"):
        first = {}
        for index, endpoint in enumerate(endpoints):
            other = first.setdefault(endpoint[field], index)
            if other != index:
                yield f"{path}[{index}].{field}: {_excerpt(endpoint[field])} duplicates [{other}]"


def _model_faults(data, model, path):
    for fault in check_settings(data, model=model, path=path):
        where, _, what = fault.partition(": ")
        field = where.removeprefix(f"{path}.").partition("[")[0]
        value = data.get(field) if isinstance(data, dict) else data
        if what in ("missing", "unknown field") or isinstance(value, dict | list):
            yield fault
        elif what.startswith("Expected `str` matching regex"):
            yield f"{where}: {_excerpt(value)} is not a valid {field}"
        else:
            yield f"{where}: {what}, value {_excerpt(value)}"


def _excerpt(value):
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "…"
