import pytest

from cranberryfield.core.config import DaemonConfig
from cranberryfield.core.errors import ConfigError

VALID = """\
node: entry-1
group: dakar
data_centre: plateau
roles: [entry]
mesh: 127.0.0.1:9000
callers: 127.0.0.1:8000
mesh_key: 0123456789abcdef
control:
  - {node: control-1, mesh: "127.0.0.1:9001"}
"""


def test_valid_file_is_read():
    assert DaemonConfig.from_yaml(VALID, "a.yaml").zone == "plateau"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("a: [", "a.yaml:1: not YAML"),
        (VALID + "colour: red\n", "a.yaml:10: colour: unknown key"),
        (VALID + "node: again\n", "a.yaml:10: node: given twice"),
        (VALID.replace("mesh: 127", "mesh: a127"), "a.yaml:5: mesh: "),
        (VALID.replace("[entry]", "[control]"), "a.yaml:4: roles: the control role"),
        (VALID.replace("mesh: 127", "mesh: 10"), "a.yaml:5: mesh: an address off"),
        (VALID.replace("node: entry-1\n", ""), "node: is required"),
        ("", "must be a mapping"),
    ],
)
def test_invalid_file_is_refused_with_its_line(text, expected):
    with pytest.raises(ConfigError) as caught:
        DaemonConfig.from_yaml(text, "a.yaml")
    assert expected in caught.value.detail


def test_all_problems_are_reported_together():
    text = VALID.replace("plateau", "'#'") + "colour: red\n"
    with pytest.raises(ConfigError) as caught:
        DaemonConfig.from_yaml(text, "a.yaml")
    assert len(caught.value.detail.splitlines()) == 2
