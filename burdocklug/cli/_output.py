"""Output of the command line: tables for people, JSON for programs."""

import msgspec

__all__ = ["print_fields", "print_json", "print_rows"]


def print_json(value):
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def print_rows(header, rows, *, indent=""):
    """Print rows as a table with columns as wide as their widest cell.

    Parameters
    ----------
    header : sequence of str
        Names of the columns.
    rows : iterable of sequences
        Cells; each is converted by `str`.
    indent : str, optional
        Prefix of each line.

    Examples
    --------
    >>> print_rows(["name", "state"], [["p1", "alive"], ["press-2", "dead"]])
    name     state
    p1       alive
    press-2  dead
    """
    table = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[col]) for row in table) for col in range(len(header))]
    for row in table:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(f"{indent}{line}".rstrip())


def print_fields(fields, *, indent=""):
    """Print fields: lists of objects as tables, objects as indented blocks, others on one line.

    Parameters
    ----------
    fields : dict
        Values by field name, as decoded from JSON.
    indent : str, optional
        Prefix of each line.

    Examples
    --------
    >>> print_fields({"limit": 3, "names": ["a"], "queue": {"waiting": 1}})
    limit: 3
    names: ["a"]
    queue:
      waiting: 1
    >>> print_fields({"peers": [{"name": "p1", "draining": False}, {"name": "press-2"}]})
    peers:
      name     draining
      p1       false
      press-2
    """
    inner_indent = f"{indent}  "
    for name, value in fields.items():
        if isinstance(value, dict) and value:
            print(f"{indent}{name}:")
            print_fields(value, indent=inner_indent)
        elif isinstance(value, list) and value and all(isinstance(row, dict) for row in value):
            print(f"{indent}{name}:")
            columns = list(dict.fromkeys(column for row in value for column in row))
            cells = ([_cell(row[c]) if c in row else "" for c in columns] for row in value)
            print_rows(columns, cells, indent=inner_indent)
        else:
            print(f"{indent}{name}: {_cell(value)}")


def _cell(value):
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
