"""Output of the command line: tables for people, JSON for programs."""

import msgspec

__all__ = ["print_json", "print_rows"]


def print_json(value):
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def print_rows(header, rows):
    """Print rows as a table with columns as wide as their widest cell.

    Parameters
    ----------
    header : sequence of str
        Names of the columns.
    rows : iterable of sequences
        Cells; each is converted by `str`.

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
        print(line.rstrip())
