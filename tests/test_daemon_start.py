import json
import socket
import subprocess
import sys

import pytest

from standins.processes import free_port

CONFIG_TEMPLATE = """\
node: {node}
group: start
data_centre: plateau
roles: [{role}]
mesh: 127.0.0.1:{mesh}
callers: 127.0.0.1:{callers}
mesh_key: 0123456789abcdef
control: [{{node: control-1, mesh: "127.0.0.1:9"}}]
{more}
"""
TLS_TEMPLATE = "tls: {{authority: {0}, certificate: {0}, private_key: {0}}}"


def run_daemon(tmp_path, text, *options):
    path = tmp_path / "node.yaml"
    path.write_text(text)
    return subprocess.run(
        [sys.executable, "-m", "cranberryfield.daemon", "--config", path, *options],
        env={"PYTHONPATH": ":".join(path for path in sys.path if path)},
        capture_output=True,
        text=True,
        timeout=60,
    )


def valid_config(role="entry", node="entry-1", more="", **ports):
    ports = {"mesh": free_port(), "callers": free_port(), **ports}
    return CONFIG_TEMPLATE.format(role=role, node=node, more=more, **ports)


def test_a_bad_file_is_refused_with_all_its_faults_before_a_port_is_bound(tmp_path):
    with socket.socket() as bound_socket:
        # If a port were bound first, the daemon would report the port in use instead.
        bound_socket.bind(("127.0.0.1", 0))
        bound_socket.listen()
        text = valid_config(
            callers=bound_socket.getsockname()[1], more="log_level: loud\ncolour: red"
        )
        result = run_daemon(tmp_path, text.replace("[entry]", "[cook]"))
    assert result.returncode == 2
    lines = result.stderr.splitlines()
    assert [line.split(":")[2] for line in lines] == ["4", "9", "10"]
    assert all(line.startswith("cranberryfieldd: ") for line in lines)


def test_a_file_without_faults_is_checked_and_nothing_is_started(tmp_path):
    result = run_daemon(tmp_path, valid_config(), "--check")
    assert (result.returncode, result.stderr) == (0, "")
    assert "entry-1 can start" in result.stdout


@pytest.mark.parametrize(
    ("arguments", "message"),
    [((), "--config"), (("--config", "a", "--colour"), "--colour")],
    ids=["no file", "unknown option"],
)
def test_a_mistake_in_usage_gives_one_line(tmp_path, arguments, message):
    result = subprocess.run(
        [sys.executable, "-m", "cranberryfield.daemon", *arguments],
        env={"PYTHONPATH": ":".join(path for path in sys.path if path)},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (result.returncode, result.stderr.count("\n")) == (2, 1)
    assert message in result.stderr


HOST_FAULTS = [
    ("no TLS file", {"more": TLS_TEMPLATE.format("/nowhere.pem")}, 2, "tls.authority"),
    (
        "TLS file is no PEM",
        {"more": TLS_TEMPLATE.format(__file__)},
        2,
        "tls.certificate",
    ),
    (
        "data folder is a file",
        {"role": "control", "node": "control-1", "more": f"data_folder: {__file__}"},
        10,
        "is not a folder",
    ),
]


@pytest.mark.parametrize(
    ("changes", "code", "message"),
    [row[1:] for row in HOST_FAULTS],
    ids=[row[0] for row in HOST_FAULTS],
)
def test_what_the_host_lacks_is_told_in_log_lines(tmp_path, changes, code, message):
    result = run_daemon(tmp_path, valid_config(**changes), "--check")
    assert result.returncode == code
    assert result.stderr == ""
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    assert {line["event"] for line in lines} == {"cannot start"}
    assert any(message in line["detail"] for line in lines)


def test_a_port_in_use_is_told_and_the_other_is_not_bound(tmp_path):
    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        bound_socket.listen()
        result = run_daemon(
            tmp_path, valid_config(callers=bound_socket.getsockname()[1])
        )
    assert result.stderr == ""
    line = json.loads(result.stdout)
    assert (result.returncode, line["kind"]) == (13, "address_unavailable")
    assert line["detail"].startswith("callers: 127.0.0.1:")
