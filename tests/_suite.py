"""Turns the test functions of a module into a `unittest` suite, with shared fixtures.

load_tests = load_functions(globals(), set_up=make_store, tear_down=drop_store)
"""

import unittest
from collections.abc import Callable, Mapping
from typing import Any


class ModuleFunctionTestCase(unittest.FunctionTestCase):
    """A function test whose id includes its module, so that it can be listed and selected."""

    def __init__(self, function: Callable[[], None], **options: Any) -> None:
        super().__init__(function, **options)
        self._name = f"{function.__module__}.{function.__qualname__}"

    def id(self) -> str:
        """Return the dotted name of the function."""
        return self._name


def load_functions(
    namespace: Mapping[str, Any],
    *,
    set_up: Callable[[], None] | None = None,
    tear_down: Callable[[], None] | None = None,
) -> Callable[..., unittest.TestSuite]:
    """Return a `load_tests` function for the `test_` functions of a module's namespace."""

    def load_tests(*_: Any) -> unittest.TestSuite:
        functions = [
            value
            for name, value in namespace.items()
            if name.startswith("test_") and callable(value)
        ]
        return unittest.TestSuite(
            ModuleFunctionTestCase(function, setUp=set_up, tearDown=tear_down)
            for function in functions
        )

    return load_tests
