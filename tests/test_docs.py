"""Tests of the links and of the table of promises in the documentation."""

import re

from tests._promises import PROMISES
from tests._run import ROOT
from tests._suite import load_functions

_TESTS_ROW = re.compile(r"^\| (\d+) \| (`[a-z].*`) \|$", re.MULTILINE)
_NAME = re.compile(r"`([^`]+)`")
_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def test_relative_links_refer_to_files() -> None:
    """A relative link to a file that does not exist fails, such as after a file was renamed."""
    broken = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
        for target in _LINK.findall(page.read_text())
        if not (page.parent / target).exists()
    ]
    assert not broken, broken


def test_page_of_promises_names_their_tests() -> None:
    """The row of each promise lists exactly the tests that `scripts/prove` runs for it."""
    page = (ROOT / "docs" / "PROMISES.md").read_text()
    rows = dict(_TESTS_ROW.findall(page))
    assert set(rows) == {str(promise.number) for promise in PROMISES}
    for promise in PROMISES:
        named = _NAME.findall(rows[str(promise.number)])
        assert [f"tests.{name}" for name in named] == list(promise.proofs), promise.number


load_tests = load_functions(globals())
