import pytest

from cranberryfield.core.config import DaemonConfig
from cranberryfield.core.errors import ConfigError

GOOD = """\
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


def test_good_file_is_read():
    assert DaemonConfig.from_yaml(GOOD, "a.yaml").zone == "plateau"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("a: [", "a.yaml:1: not YAML"),
        (GOOD + "colour: red\n", "a.yaml:10: colour: unknown key"),
        (GOOD + "node: again\n", "a.yaml:10: node: given twice"),
        (GOOD.replace("mesh: 127", "mesh: a127"), "a.yaml:5: mesh: "),
        (GOOD.replace("[entry]", "[control]"), "a.yaml:4: roles: the control role"),
        (GOOD.replace("mesh: 127", "mesh: 10"), "a.yaml:5: mesh: an address off"),
        (GOOD.replace("node: entry-1\n", ""), "node: is required"),
        ("", "must be a mapping"),
    ],
)
def test_bad_file_is_refused_with_its_line(text, expected):
    with pytest.raises(ConfigError) as caught:
        DaemonConfig.from_yaml(text, "a.yaml")
    assert expected in caught.value.detail


def test_all_faults_are_reported_together():
    text = GOOD.replace("plateau", "'#'") + "colour: red\n"
    with pytest.raises(ConfigError) as caught:
        DaemonConfig.from_yaml(text, "a.yaml")
    assert len(caught.value.detail.splitlines()) == 2
