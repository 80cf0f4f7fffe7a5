"""The table at the end of the demo and the checks over what the stand-ins recorded."""

from collections import Counter

__all__ = ["check_starts", "message_cells", "percentile", "print_report"]

BY_CAUSE = "beside starts and answers, a task"


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


def message_cells(endpoint, peer, tasks):
    """Return the cells of a row on messages, each a task.

    Parameters
    ----------
    endpoint, peer : Counter
        Messages by cause to and from endpoints, and between processes.
    tasks : int
        Number of tasks that ran.

    Examples
    --------
    >>> cells = message_cells(Counter(start=8, fence=2), Counter(slot_grant=1), 4)
    >>> list(cells.values())
    ['2.500', '0.250', 'fence 0.500, slot_grant 0.250']
    """
    tasks = max(1, tasks)
    beside = (endpoint + peer).most_common()
    causes = (f"{cause} {count / tasks:.3f}" for cause, count in beside if cause != "start")
    return {
        "endpoint msgs/task": f"{endpoint.total() / tasks:.3f}",
        "peer msgs/task": f"{peer.total() / tasks:.3f}",
        BY_CAUSE: ", ".join(causes),
    }


def print_report(rows):
    """Print one row a deployment, then the causes of the messages beside the unavoidable two.

    Parameters
    ----------
    rows : list of dict
        Cells by column.
    """
    columns = [name for name in rows[0] if name != BY_CAUSE]
    table = [columns, *([str(row[name]) for name in columns] for row in rows)]
    widths = [max(len(line[col]) for line in table) for col in range(len(columns))]
    for line in table:
        print("  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)))
    for row in rows:
        print(f"{row['deployment']}, messages {BY_CAUSE}: {row[BY_CAUSE]}")
