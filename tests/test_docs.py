"""Checks that the pages' links lead somewhere."""

import re

from tests._run import ROOT
from tests._suite import load_functions

_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def test_links_between_pages_lead_to_files() -> None:
    """Every relative link of a page names a file."""
    broken = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
        for target in _LINK.findall(page.read_text())
        if not (page.parent / target).exists()
    ]
    assert not broken, broken


load_tests = load_functions(globals())
