import json
import uuid

import httpx
import pytest

from cranberryfield.client import main as client
from standins.fleets import NOTARY_KEY, RELEVE_KEY
from standins.group import OPERATOR_KEY
from standins.processes import wait_until


@pytest.fixture
def run_client(fleet, monkeypatch, capsys):
    """Function that runs the client on entry-1; gives exit code, stdout, stderr."""
    monkeypatch.setenv("CRANBERRYFIELD_NODE", fleet.entry_addresses[0])
    monkeypatch.setenv("CRANBERRYFIELD_KEY", OPERATOR_KEY)

    def run_client(*arguments):
        monkeypatch.setattr("sys.argv", ["cranberryfield", *map(str, arguments)])
        try:
            client.main()
            code = 0
        except SystemExit as stop:
            code = stop.code or 0
        output = capsys.readouterr()
        assert "Traceback" not in output.err
        return code, output.out, output.err

    return run_client


@pytest.fixture
def read_json(run_client):
    def read_json(*arguments):
        code, out, err = run_client(*arguments, "--json")
        assert code == 0, err
        return json.loads(out)

    return read_json


INVALID_COMMANDS = [
    ("unknown command", ("frob",), 2, "Unknown command"),
    ("argument missing", ("settings", "set"), 2, "LEVEL"),
    ("unknown option", ("status", "--colour"), 2, "--colour"),
    ("no equals sign", ("settings", "set", "system", "queue_limit"), 8, "NAME=VALUE"),
    ("no assignment", ("settings", "set", "system"), 8, "no NAME=VALUE"),
    ("no value", ("settings", "set", "system", "queue_limit="), 8, "no value"),
    ("bad YAML", ("settings", "set", "system", "queue_limit=[1"), 8, "not YAML"),
    ("twice", ("settings", "set", "system", "share=1", "share=1"), 8, "share"),
    ("unknown level", ("settings", "set", "team/x", "share=1"), 4, "team/x"),
    ("unknown setting", ("settings", "set", "system", "colour=1"), 4, "colour"),
    ("unknown to unset", ("settings", "unset", "system", "colour"), 4, "colour"),
    ("out of range", ("settings", "set", "system", "queue_limit=-1"), 8, ">= 0"),
    (
        "stale",
        ("settings", "set", "service/redacteur", "queue_limit=1", "--revision", 0),
        9,
        "revision",
    ),
    ("service exists", ("service", "create", "redacteur", "--kind=model"), 9, "0"),
    ("no such service", ("service", "show", "nobody"), 4, "nobody"),
    ("no such upstream", ("upstream", "show", "nobody"), 4, "nobody"),
    ("no such request", ("requests", "show", "nobody"), 4, "nobody"),
    ("wrong key", ("status", "--key", "wrong"), 3, "key"),
    ("bad address", ("status", "--node", "127.0.0.1:port"), 2, "--node"),
    ("no node there", ("status", "--node", "127.0.0.1:1"), 6, "no answer"),
    ("file missing", ("settings", "apply", "/nowhere.yaml"), 2, "No such file"),
    ("neither file nor revision", ("settings", "diff"), 2, "--since"),
    ("revisions not kept", ("settings", "diff", "--since", 10**6), 4, "not kept"),
    ("replace unconfirmed", ("control", "replace", "control-1"), 2, "--help"),
    (
        "replace by an entry host",
        ("control", "replace", "entry-1", "--majority-is-lost"),
        2,
        "no control role",
    ),
    ("add nobody", ("control", "members", "--add", "control-9"), 4, "control-9"),
    ("not a daemon's file", ("config", "check", "/nowhere.yaml"), 2, "No such file"),
]


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [row[1:] for row in INVALID_COMMANDS],
    ids=[row[0] for row in INVALID_COMMANDS],
)
def test_a_mistake_gives_one_line_and_the_kinds_exit_code(
    run_client, arguments, code, message
):
    exit_code, out, err = run_client(*arguments)
    assert (exit_code, out) == (code, "")
    assert err.startswith("cranberryfield: ")
    assert err.count("\n") == 1
    assert message in err


READ_COMMANDS = [
    ("status", ("status",), "entry-3"),
    ("status of one", ("status", "--one"), "entry-1"),
    ("members", ("control", "members"), "leader"),
    ("history", ("settings", "history"), "booking-app"),
    ("difference", ("settings", "diff", "--since", 0), "booking-app"),
    ("levels", ("settings", "get"), "service/redacteur"),
    ("one level", ("settings", "get", "service/redacteur"), "model"),
    ("in force", ("settings", "get", "--service", "redacteur"), "retry_budget"),
    ("describe", ("settings", "describe", "queue_limit"), "256"),
    ("services", ("service", "list"), "booking-app"),
    ("service", ("service", "show", "booking-app"), "plain"),
    ("workspaces", ("workspace", "list"), "notary"),
    ("workspace", ("workspace", "show", "releve"), "key_hashes"),
    ("upstreams", ("upstream", "list"), "clerk-lm-2"),
    ("upstream", ("upstream", "show", "clerk-lm-2"), "entry-2"),
    ("histograms", ("top", "--total"), "request"),
]


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [row[1:] for row in READ_COMMANDS],
    ids=[row[0] for row in READ_COMMANDS],
)
def test_each_verb_prints_a_table_and_json(fleet, run_client, arguments, expected):
    _post_completion(fleet, 0)
    code, table, err = run_client(*arguments)
    assert code == 0, err
    assert expected in table
    code, text, err = run_client(*arguments, "--json")
    assert code == 0, err
    assert expected in json.dumps(json.loads(text))


def _post_completion(fleet, host):
    body = {"model": "redacteur", "prompt": "wall", "max_tokens": 2}
    response = httpx.post(
        f"http://{fleet.entry_addresses[host]}/v1/completions",
        json=body,
        headers={"Authorization": f"Bearer {RELEVE_KEY}"},
        timeout=20,
        trust_env=False,
    )
    assert response.status_code == 200


def _post_booking(fleet, host, key):
    return httpx.post(
        f"http://{fleet.entry_addresses[host]}/services/booking-app/appointments",
        content=b"slot",
        headers={"Authorization": f"Bearer {NOTARY_KEY}", "Idempotency-Key": key},
        timeout=20,
        trust_env=False,
    )


def test_status_shows_every_node_from_any(fleet, read_json):
    rows = read_json("status", "--node", fleet.hosts["control-2"].callers)
    assert {row["node"] for row in rows} == set(fleet.hosts)
    assert all(row["memory_mib"] > 0 for row in rows)


def test_top_counts_the_requests_of_all_nodes(fleet, read_json):
    def request_count():
        rows = read_json("top", "--total", "--workspace", "releve")
        return sum(row["count"] for row in rows if row["histogram"] == "request")

    before = request_count()
    for host in range(3):
        _post_completion(fleet, host)
    assert request_count() == before + 3


def test_a_change_is_waited_for_and_a_resend_has_no_second_effect(fleet, read_json):
    level = "service/archives"
    change_id = uuid.uuid4().hex
    arguments = ("settings", "set", level, "queue_limit=77", "--change-id", change_id)
    first = read_json(*arguments, "--wait")
    assert first["in_force"] == first["nodes"] == len(fleet.hosts)
    assert read_json(*arguments)["revision"] == first["revision"]
    origins = read_json("settings", "get", "--service", "archives")
    assert {"name": "queue_limit", "value": 77, "level": level} in origins
    read_json("settings", "unset", level, "queue_limit", "--wait")
    assert read_json("settings", "get", level)[0]["values"] == {"kind": "model"}


def test_apply_is_one_change_and_changes_nothing_when_repeated(
    read_json, run_client, tmp_path
):
    file = tmp_path / "fleet.yaml"
    file.write_text("service/archives: {queue_limit: 5}\nworkspace/releve: {share: 2}")
    assert len(read_json("settings", "diff", file)) == 2
    assert len(read_json("settings", "apply", file, "--dry-run")) == 2
    before = read_json("status", "--one")["settings_revision"]
    applied = read_json("settings", "apply", file, "--wait")
    assert applied["revision"] == before + 1
    assert read_json("settings", "diff", file) == []
    assert read_json("settings", "apply", file)["revision"] == before + 1
    read_json("settings", "unset", "service/archives", "queue_limit", "--wait")
    assert [row["setting"] for row in read_json("settings", "diff", file)] == [
        "queue_limit"
    ]
    assert read_json("settings", "apply", file)["revision"] == before + 3
    read_json("settings", "unset", "service/archives", "queue_limit")
    read_json("settings", "unset", "workspace/releve", "share", "--wait")


def test_history_shows_who_replaced_what(read_json):
    level = "service/clerk-lm"
    first = read_json("settings", "set", level, "queue_limit=5")
    second = read_json("settings", "set", level, "queue_limit=6")
    rows = read_json("settings", "history", level, "--limit", 2)
    assert [(row["before"], row["after"]) for row in rows] == [(5, 6), (None, 5)]
    assert rows[0]["change_id"] == second["change_id"]
    revision_range = ("--since", first["revision"], "--until", second["revision"])
    assert read_json("settings", "diff", *revision_range) == [
        {"level": level, "setting": "queue_limit", "before": 5, "after": 6}
    ]
    read_json("settings", "unset", level, "queue_limit", "--wait")


def test_a_control_host_leaves_and_joins_at_an_operators_word(
    fleet, run_client, read_json
):
    rows = read_json("control", "members")
    follower = next(row["node"] for row in rows if row["role"] == "follower")
    rows = read_json("control", "members", "--remove", follower)
    assert follower not in [row["node"] for row in rows]
    wait_until(
        lambda: run_client("control", "members", "--add", follower)[0] == 0,
        "the control host is a member again",
    )
    wait_until(lambda: len(read_json("control", "members")) == 3, "three members")


def test_all_faults_of_a_settings_file_are_told_with_their_lines(run_client, tmp_path):
    file = tmp_path / "fleet.yaml"
    file.write_text(
        "system:\n  queue_limit: many\n  colour: red\nteam/x: {share: 1}\n"
        "service/archives: 3\n"
    )
    code, out, err = run_client("settings", "apply", file)
    assert (code, out) == (2, "")
    lines = [line.partition(":")[2].split(":")[0] for line in err.splitlines()]
    assert len(lines) == 4
    for number in (2, 3, 4, 5):
        assert f"fleet.yaml:{number}: " in err


def test_a_created_workspace_can_call_and_its_key_is_kept_nowhere(
    fleet, run_client, read_json
):
    name = f"w-{uuid.uuid4().hex[:8]}"
    created = read_json("workspace", "create", name, "share=3", "--wait")
    response = httpx.get(
        f"http://{fleet.entry_addresses[1]}/v1/requests/none",
        headers={"Authorization": f"Bearer {created['key']}"},
        trust_env=False,
    )
    assert response.json()["kind"] == "unknown_request"
    code, text, _ = run_client("settings", "get", f"workspace/{name}", "--json")
    assert code == 0
    assert created["key"] not in text


def test_a_drained_upstream_gets_no_work_until_it_is_put_back(fleet, read_json):
    read_json("upstream", "drain", "booking-app-1", "--wait")
    before = len(fleet.journal())
    for number in range(6):
        assert _post_booking(fleet, number % 3, uuid.uuid4().hex).status_code == 200
    after = fleet.journal()[before:]
    assert {entry.upstream for entry in after} == {"booking-app-2"}
    read_json("upstream", "drain", "booking-app-1", "--undo", "--wait")
    rows = read_json("upstream", "list", "--service", "booking-app")
    assert [row["drained"] for row in rows] == [False, False]


@pytest.mark.parametrize(
    "noun", [("service", "booking-app"), ("workspace", "notary")], ids=lambda n: n[0]
)
def test_a_drained_level_refuses_new_requests_with_a_time_to_come_back(
    fleet, read_json, noun
):
    read_json(noun[0], "drain", noun[1], "--wait")
    response = _post_booking(fleet, 2, uuid.uuid4().hex)
    assert (response.status_code, response.json()["kind"]) == (503, "drained")
    assert response.json()["was_run"] == "no"
    assert int(response.headers["Retry-After"]) > 0
    read_json(noun[0], "drain", noun[1], "--undo", "--wait")
    assert _post_booking(fleet, 2, uuid.uuid4().hex).status_code == 200


def test_a_request_is_shown_with_its_claim_and_its_record(fleet, read_json):
    key = uuid.uuid4().hex
    _post_booking(fleet, 1, key)
    view = read_json("requests", "show", key, "--workspace", "notary")
    assert (view["claim"]["state"], view["claim"]["node"]) == ("answered", "entry-2")
    assert ("entry-2", "answered") in {
        (row["node"], row["state"]) for row in view["records"]
    }
    assert all(row["idempotent"] is False for row in view["records"])
    assert view["silent"] == []
    view = read_json("requests", "show", key)
    assert (view["claim"], len(view["records"])) == (None, 1)


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_names_every_noun(run_client, shell):
    code, text, _ = run_client("completion", "--shell", shell)
    assert code == 0
    for noun in ("settings", "service", "workspace", "upstream", "requests"):
        assert noun in text
