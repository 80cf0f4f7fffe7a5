"""Markdown tables of the capacity page."""

__all__ = ["row", "spread", "table"]


def row(*cells):
    """Return one line of a Markdown table.

    Examples
    --------
    >>> row("a", 1)
    '| a | 1 |'
    """
    return "| " + " | ".join(map(str, cells)) + " |"


def table(title, head, rows):
    """Return a titled Markdown table as text."""
    lines = [f"### {title}", "", row(*head), row(*["---"] * len(head)), *(row(*r) for r in rows)]
    return "\n".join(lines) + "\n"


def spread(values, digits=0):
    """Return the mean of several runs with the least and the most.

    Examples
    --------
    >>> spread([10.0, 12.0])
    '11 (10 to 12)'
    """
    values = list(values)
    mean = sum(values) / len(values)
    shown = [f"{value:,.{digits}f}" for value in (mean, min(values), max(values))]
    return f"{shown[0]} ({shown[1]} to {shown[2]})"
