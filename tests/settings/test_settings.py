"""Tests of the settings file and its faults."""

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
    """Values have their types and keys that are left out their defaults."""
    loaded = parse_settings(_GOOD).unwrap()
    assert loaded.instance.id == "entry-1"
    assert loaded.keys.withdrawal_bound_s == 5.0
    assert loaded.cluster.shards == 32


def test_five_faults_are_named_at_once() -> None:
    """Each of five faults of different kinds is named with section, key and value."""
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
    """An example that lags behind a changed default would put the former one in force."""
    for name in ("brunner", "corrib"):
        loaded = load_settings(ROOT / "examples" / f"{name}.ini").unwrap()
        assert loaded.scheduling == SchedulingSettings()


def test_an_unknown_policy_is_named_with_the_known_ones() -> None:
    """A policy that is not in the registry is a fault that lists what is."""
    faults = _faults(_GOOD + "[scheduling]\norder = loudest-first\n")
    assert "fair-least-attained" in faults["scheduling", "order"].expected


def test_faults_of_form_do_not_hide_others() -> None:
    """Repeated sections and keys and broken lines are named beside wrong values."""
    text = "stray = 1\n" + _GOOD.replace("10.0.0.1:8081", "10.0.0.1:0")
    text += "withdrawal_bound_s = 6\nnonsense\n[instance]\nid = entry-2\n"
    faults = parse_settings(text).unwrap_err()
    assert len(faults) == 5, [str(fault) for fault in faults]


def test_a_short_lease_is_renewed_more_often() -> None:
    """The renewal interval follows the lease, so that no setting can contradict it."""
    cluster = parse_settings(_GOOD + "[cluster]\nlease_s = 3\n").unwrap().cluster
    assert cluster.renew_s == 1.0


def test_an_unknown_commit_scope_is_a_fault() -> None:
    """What is shared is the instance's or the failure domain's, and by default the instance's."""
    assert parse_settings(_GOOD).unwrap().cluster.commit_scope == "instance"
    wide = parse_settings(_GOOD + "[cluster]\ncommit_scope = failure-domain\n").unwrap()
    assert wide.cluster.commit_scope == "failure-domain"
    assert set(_faults(_GOOD + "[cluster]\ncommit_scope = region\n")) == {
        ("cluster", "commit_scope")
    }


def test_examples_are_valid() -> None:
    """The example file of each deployment passes the check."""
    for name in ("brunner.ini", "corrib.ini"):
        assert isinstance(load_settings(ROOT / "examples" / name), Ok), name


def test_a_missing_file_is_one_fault() -> None:
    """A file that cannot be read is reported as a fault."""
    assert isinstance(load_settings(ROOT / "absent.ini"), Err)


@settings(derandomize=True, max_examples=150)
@given(st.lists(st.sampled_from([*_GOOD.splitlines(), "[", "]", "=", " x", "\x00", "[a]", "b"])))
def test_any_text_is_settings_or_faults(lines: list[str]) -> None:
    """No text of lines raises, and a refusal names at least one fault."""
    parsed = parse_settings("\n".join(lines))
    assert isinstance(parsed, Ok) or parsed.err_value


load_tests = load_functions(globals())
