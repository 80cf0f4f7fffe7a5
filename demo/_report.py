"""The table at the end of the demo and the checks over what the stand-ins recorded."""

from collections import Counter

__all__ = ["check_starts", "percentile", "print_report"]


def percentile(values, share):
    """Return the smallest value with at least `share` of all values at or under it.

    Examples
    --------
    >>> percentile([4, 1, 3, 2], 0.5)
    2
    """
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, max(0, -int(-share * len(ordered) // 1) - 1))]


def check_starts(records):
    """Return the number of starts by task id over all endpoints.

    Parameters
    ----------
    records : dict of str to dict
        What each endpoint stand-in recorded.
    """
    return Counter(start[0] for record in records.values() for start in record["starts"])


def print_report(rows):
    """Print one row a deployment.

    Parameters
    ----------
    rows : list of dict
        Cells by column.
    """
    columns = list(rows[0])
    table = [columns, *([str(row[name]) for name in columns] for row in rows)]
    widths = [max(len(line[col]) for line in table) for col in range(len(columns))]
    for line in table:
        print("  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)))
