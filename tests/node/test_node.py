"""Tests of the creation of an instance from its settings."""

import trio

from lagoonfold.settings import load_settings
from lagoonfold_node._node import Node
from lagoonfold_node._status import not_ready_reason
from tests._run import ROOT
from tests._suite import load_functions


def test_an_instance_of_each_example_is_wired_and_not_ready() -> None:
    """Each example creates an instance, which is not ready before its configuration is verified."""

    async def check(name: str) -> None:
        node = Node(load_settings(ROOT / "examples" / name).unwrap())
        assert not_ready_reason(node) == "the configuration could not be verified"

    for name in ("brunner.ini", "corrib.ini"):
        trio.run(check, name)


load_tests = load_functions(globals())
