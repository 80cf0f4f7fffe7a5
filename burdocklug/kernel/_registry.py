"""Registries that decorators fill: one per kind of varying behaviour."""

__all__ = ["Registry"]


class Registry:
    """A named table from string to object, filled by a decorator.

    Parameters
    ----------
    topic : str
        What the entries are, used in error messages.

    Examples
    --------
    >>> policies = Registry("policy")
    >>> @policies.register("first")
    ... def first(items):
    ...     return items[0]
    >>> policies.get("first")([3, 4])
    3
    """

    def __init__(self, topic):
        self.topic = topic
        self._entries = {}

    def register(self, name):
        """Return a decorator that stores its argument under `name`.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def decorate(entry):
            if name in self._entries:
                raise ValueError(f"{self.topic} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name):
        """Return the entry under `name`.

        Raises
        ------
        KeyError
            If there is none; the message lists the known names.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise KeyError(f"no {self.topic} {name!r}; known: {', '.join(self.names())}") from None

    def names(self):
        """Return the sorted names of all entries."""
        return sorted(self._entries)

    def items(self):
        """Return pairs of name and entry in order of name."""
        return sorted(self._entries.items())
