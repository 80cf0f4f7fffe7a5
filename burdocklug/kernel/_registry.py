"""Registry that maps names to interchangeable objects, such as policies, added by a decorator."""

__all__ = ["Registry"]


class Registry:
    """Mapping from names to objects, which a decorator adds.

    Parameters
    ----------
    entry_kind : str
        Noun for one entry, used in error messages.

    Examples
    --------
    >>> policies = Registry("policy")
    >>> @policies.register("first")
    ... def first(items):
    ...     return items[0]
    >>> policies.get("first")([3, 4])
    3
    """

    def __init__(self, entry_kind):
        self.entry_kind = entry_kind
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
                raise ValueError(f"{self.entry_kind} {name!r} is registered twice")
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
            raise KeyError(
                f"no {self.entry_kind} {name!r}; known: {', '.join(self.names())}"
            ) from None

    def names(self):
        """Return the sorted names of all entries."""
        return sorted(self._entries)

    def items(self):
        """Return pairs of name and entry in order of name."""
        return sorted(self._entries.items())
