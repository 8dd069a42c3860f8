"""Tests of the configuration of cluster hosts, as rendered by a platform."""

import pytest

from cranberryfield.core.config import ClusterConfig
from cranberryfield.core.errors import ConfigError

RELAY = """
node: relay-1
data_centre: fann
mesh: 10.0.0.1:7600
mesh_key: a-key-of-the-cluster
seeds: ["10.0.0.2:8229", "10.0.0.3:8229"]
first_start: true
relay:
  callers: 10.0.0.1:8221
  readiness: 10.0.0.1:8224
"""


def test_seeds_use_the_mesh_port_of_the_host():
    config = ClusterConfig.from_yaml(RELAY, "f.yaml")
    assert config.roles == ("relay",)
    assert config.mesh_seeds == ("10.0.0.2:7600", "10.0.0.3:7600")


@pytest.mark.parametrize(
    ("line", "name", "value"),
    [
        ("stop_s:", "stop_s", 8.0),
        ("stop_s: 20", "stop_s", 20.0),
        ("retry_allowance: 0", "retry_allowance", 0.0),
        ("quota_tolerance: null", "quota_tolerance", 0.0),
        ("metrics:", "metrics", None),
    ],
)
def test_empty_values_use_the_defaults(line, name, value):
    config = ClusterConfig.from_yaml(f"{RELAY}{line}\n", "f.yaml")
    assert getattr(config, name) == value


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("stop_s: -1", "stop_s"),
        ("colour: red", "colour"),
        ("seeds: [nowhere]", "seeds"),
        ("control: {operators: '10.0.0.1:8229'}", "data_folder"),
        ("node: ' '", "node"),
    ],
)
def test_problems_name_their_key(line, words):
    key = line.partition(":")[0]
    other_lines = [one for one in RELAY.splitlines() if not one.startswith(f"{key}:")]
    with pytest.raises(ConfigError, match=words):
        ClusterConfig.from_yaml("\n".join([*other_lines, line]), "f.yaml")


def test_a_host_without_a_role_is_refused():
    text = RELAY[: RELAY.index("relay:\n")]
    with pytest.raises(ConfigError, match="neither relay nor control"):
        ClusterConfig.from_yaml(text, "f.yaml")
