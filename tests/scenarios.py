"""Fault tables for test classes: each test method runs once for each row."""

import functools
import re

__all__ = ["with_scenarios"]


def with_scenarios(cls):
    """Replace each test method of `cls` by one for each row of ``cls.scenarios``.

    Parameters
    ----------
    cls : type
        A TestCase with a list of pairs of name and attributes.
    """
    for method_name in [name for name in vars(cls) if name.startswith("test_")]:
        method = getattr(cls, method_name)
        delattr(cls, method_name)
        for row_name, attributes in cls.scenarios:
            slug = re.sub(r"\W+", "_", row_name)
            setattr(cls, f"{method_name}__{slug}", _bind(method, attributes))
    return cls


def _bind(method, attributes):
    @functools.wraps(method)
    def run(self):
        vars(self).update(attributes)
        return method(self)

    return run
