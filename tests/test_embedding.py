"""Test of the example in docs/EMBEDDING.md."""

import contextlib
import io
import re

from tests._run import ROOT
from tests._suite import load_functions


def test_the_example_runs_within_its_rate() -> None:
    """The example has at most 20 lines of code and admits no more than burst and rate allow."""
    page = (ROOT / "docs" / "EMBEDDING.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", page, flags=re.DOTALL)
    lines = [line for line in code.splitlines() if line.strip()]
    assert len(lines) <= 20
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(code, "EMBEDDING.md", "exec"), {})
    admitted = int(printed.getvalue().split()[0])
    assert 10 <= admitted <= 20


load_tests = load_functions(globals())
