"""The platform's names stay in one small folder, which does not shadow a standard module."""

import platform
import re
import subprocess
import sys
import tomllib
from pathlib import Path

from tests._suite import load_functions
from tests.on_platform import PLATFORM, ROOT

# The platform's names of fields, headers and calls that lagoonfold itself does not use.
PLATFORM_NAMES = re.compile(
    r"\b(Attempt-Id|attempt-id|Server-Seal|server-seal|Not-Executed|not-executed|Replica-Load"
    r"|Expect-Replica|Urgency-Class|urgency-class|Program-Deadline-Ms|Prompt-Prefix|Token-Count"
    r"|PathPrefix|TimeoutMs|MaxAttempts|TrafficSplit|AuthExempt|ApiKeys|RatePerS|RouteType"
    r"|StoreRevision|ExpectedRev|Tombstone|kv-txn|kv-watch|kv-range|kv-keep|ColdRemainingMs"
    r"|ColdStartS|ColdPerS|Cold-Ms|cold-ms|Affinity-Key|affinity-key"
    r"|NodeName|PortRange|Bootstrap|QuotaWindowS)\b"
)
CODE_FOLDERS = ("packages", "standins", "bench", "models", "examples", "scripts")


def _lines(paths: list[Path]) -> int:
    return sum(len(path.read_text().splitlines()) for path in paths)


def _sources(folder: Path) -> list[Path]:
    return [path for path in folder.rglob("*.py") if "build" not in path.parts]


def test_platform_names_are_used_only_in_their_folders() -> None:
    """No code outside `platform/` and `deploy/` contains a name of the platform."""
    found = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for folder in CODE_FOLDERS
        for path in _sources(ROOT / folder)
        if (match := PLATFORM_NAMES.search(path.read_text()))
    ]
    assert not found, found


def test_folder_is_small() -> None:
    """The translating code has less than a tenth of the lines of the packages."""
    translation = _sources(PLATFORM / "lagoonfold_platform") + [PLATFORM / "start.py"]
    assert _lines(translation) * 10 < _lines(_sources(ROOT / "packages"))


def test_folder_does_not_shadow_the_standard_module() -> None:
    """`import platform` in the repository's root finds the standard library's module."""
    assert not (PLATFORM / "__init__.py").exists()
    assert Path(platform.__file__).parent != PLATFORM
    code = "import platform; print(platform.python_version())"
    run = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert run.returncode == 0, run.stderr


def test_deploy_file_refers_to_existing_files() -> None:
    """Each role starts an existing file, the ports match, and there is no `wire.toml`."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert (ROOT / deploy["build"]).exists()
    for role in deploy["roles"].values():
        program, *arguments = role["run"].split()
        assert program == "python3"
        script = next(argument for argument in arguments if not argument.startswith("-"))
        assert (ROOT / script).exists()
        assert "template" not in role or (ROOT / role["template"]).exists()
    assert not (ROOT / "deploy" / "wire.toml").exists()
    port = deploy["roles"]["gateway"]["metrics"].partition("/")[0]
    settings = (ROOT / deploy["roles"]["gateway"]["template"]).read_text()
    assert f"metrics = {{{{Ip}}}}:{port}\n" in settings


def test_platform_requirements_match_the_lock() -> None:
    """The build for the platform has the same versions as the tests."""
    locked = set((ROOT / "requirements.lock").read_text().split())
    assert set((ROOT / "deploy" / "requirements.lock").read_text().split()) <= locked


load_tests = load_functions(globals())
