"""Tests of loading the settings file and of the faults that it reports."""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from lagoonfold.settings import SchedulingSettings, SettingsFault, load_settings, parse_settings
from tests._run import ROOT
from tests._suite import load_functions

_GOOD = """
[instance]
id = entry-1
failure_domain = zrh-a
listen = 10.0.0.1:8080
peer = 10.0.0.1:8081
operator = 10.0.0.1:8082
[platform]
kv = 10.0.9.1:2379
instance_list = 10.0.9.2:8500
[keys]
withdrawal_bound_s = 5
"""


def _faults(text: str) -> dict[tuple[str, str], SettingsFault]:
    faults = parse_settings(text).unwrap_err()
    return {(fault.section, fault.key): fault for fault in faults}


def test_a_good_file_gives_typed_values_and_defaults() -> None:
    """Values have their declared types, and keys that are left out have their defaults."""
    loaded = parse_settings(_GOOD).unwrap()
    assert loaded.instance.id == "entry-1"
    assert loaded.keys.withdrawal_bound_s == 5.0
    assert loaded.cluster.shards == 32


def test_five_faults_are_named_at_once() -> None:
    """Five faults of different kinds are all reported, each with section, key and value."""
    text = _GOOD.replace("10.0.0.1:8080", "entry-1.example:8080")
    text = text.replace("withdrawal_bound_s = 5", "withdrawal_bound_s = soon")
    text = text.replace("kv = 10.0.9.1:2379\n", "") + "[limits]\nmax_conections = 5\n[lgo]\n"
    faults = _faults(text)
    assert set(faults) == {
        ("instance", "listen"),
        ("platform", "kv"),
        ("limits", "max_conections"),
        ("keys", "withdrawal_bound_s"),
        ("lgo", ""),
    }
    assert faults["keys", "withdrawal_bound_s"].value == "soon"
    assert faults["limits", "max_conections"].value == "5"


def test_the_examples_name_the_default_policies() -> None:
    """Guard against an example that keeps a former default policy after the default changed."""
    for name in ("brunner", "corrib"):
        loaded = load_settings(ROOT / "examples" / f"{name}.ini").unwrap()
        assert loaded.scheduling == SchedulingSettings()


def test_an_unknown_policy_is_named_with_the_known_ones() -> None:
    """An unregistered policy is a fault that lists the registered ones."""
    faults = _faults(_GOOD + "[scheduling]\norder = loudest-first\n")
    assert "fair-least-attained" in faults["scheduling", "order"].expected


def test_syntax_faults_do_not_hide_invalid_values() -> None:
    """Repeated sections, repeated keys and invalid lines are reported along with invalid values."""
    text = "stray = 1\n" + _GOOD.replace("10.0.0.1:8081", "10.0.0.1:0")
    text += "withdrawal_bound_s = 6\nnonsense\n[instance]\nid = entry-2\n"
    faults = parse_settings(text).unwrap_err()
    assert len(faults) == 5, [str(fault) for fault in faults]


def test_a_short_lease_is_renewed_more_often() -> None:
    """The renewal interval is derived from the lease, so settings cannot contradict each other."""
    cluster = parse_settings(_GOOD + "[cluster]\nlease_s = 3\n").unwrap().cluster
    assert cluster.renew_s == 1.0


def test_an_unknown_commit_scope_is_a_fault() -> None:
    """The commit scope is `instance`, the default, or `failure-domain`; others are a fault."""
    assert parse_settings(_GOOD).unwrap().cluster.commit_scope == "instance"
    wide = parse_settings(_GOOD + "[cluster]\ncommit_scope = failure-domain\n").unwrap()
    assert wide.cluster.commit_scope == "failure-domain"
    assert set(_faults(_GOOD + "[cluster]\ncommit_scope = region\n")) == {
        ("cluster", "commit_scope")
    }


def test_examples_are_valid() -> None:
    """The example file of each deployment is valid."""
    for name in ("brunner.ini", "corrib.ini"):
        assert isinstance(load_settings(ROOT / "examples" / name), Ok), name


def test_a_missing_file_is_one_fault() -> None:
    """A file that cannot be read is reported as a fault."""
    assert isinstance(load_settings(ROOT / "absent.ini"), Err)


@settings(derandomize=True, max_examples=150)
@given(st.lists(st.sampled_from([*_GOOD.splitlines(), "[", "]", "=", " x", "\x00", "[a]", "b"])))
def test_any_text_is_settings_or_faults(lines: list[str]) -> None:
    """No text raises an exception, and an error holds at least one fault."""
    parsed = parse_settings("\n".join(lines))
    assert isinstance(parsed, Ok) or parsed.err_value


load_tests = load_functions(globals())
