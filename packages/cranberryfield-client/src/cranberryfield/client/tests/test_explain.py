"""Explaining requests from logs: causes, clock offsets, unreadable files."""

import json
from datetime import UTC, datetime

import pytest

from cranberryfield.client import main as client
from cranberryfield.client.logs import parse_lines
from cranberryfield.client.timeline import build_timelines

START_S = 1_800_000_000.0


def log_line(node, event, at, **fields):
    timestamp = datetime.fromtimestamp(START_S + at, UTC).isoformat()
    return json.dumps({**fields, "event": event, "node": node, "timestamp": timestamp})


def end_line(at=10.0, **fields):
    fields = {
        "request": "q1",
        "outcome": "streamed",
        "attempts": ["u1: streamed "],
        "admitted_ms": 1.0,
        "took_ms": 400.0,
        **fields,
    }
    return log_line("relay-1", "request ended", at, **fields)


def timelines(*texts):
    return build_timelines(parse_lines("log", texts).lines, "q1")


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, "nothing failed"),
        ({"outcome": "refused: over_limit: 9 wanted"}, "quota was used up"),
        (
            {"outcome": "refused: no_upstream: none", "attempts": []},
            "no upstream took it; refused: no_upstream: none; it was sent to no",
        ),
        (
            {"outcome": "deadline passed", "attempts": [], "admitted_ms": None},
            "it was not admitted before that",
        ),
        (
            {"outcome": "deadline passed", "attempts": ["u1: begun"]},
            "last attempt: u1: begun",
        ),
        (
            {"outcome": "refused: request_crashes_upstreams: 3", "attempts": []},
            "upstreams crashed while they ran it",
        ),
        ({"outcome": "something new"}, "unknown to this program"),
    ],
)
def test_cause_of_an_outcome(fields, expected):
    (timeline,) = timelines(end_line(**fields))
    assert expected in timeline.cause


@pytest.mark.parametrize("ahead_s", [0.0, -2_400.0, 3.0])
def test_events_are_in_order_despite_clock_offsets(ahead_s):
    (timeline,) = timelines(
        end_line(),
        log_line(
            "relay-1", "upstream known", 9.7, upstream="u1", told_by="c1", age_ms=100
        ),
        log_line("c1", "upstream announced", 9.6 + ahead_s, upstream="u1"),
        log_line("c1", "upstream departed", 9.8 + ahead_s, upstream="u1"),
    )
    events = [row.event for row in timeline.rows]
    assert events == [
        "upstream announced",
        "upstream known",
        "upstream departed",
        "request ended",
    ]
    assert timeline.uncompared == ()


def test_unrelated_events_are_omitted():
    (timeline,) = timelines(
        log_line("relay-1", "deployment lease lost", 9.8),
        log_line("relay-2", "deployment lease lost", 9.8),
        log_line(
            "relay-1", "upstream known", 9.8, upstream="u2", told_by="c1", age_ms=1
        ),
        log_line("relay-1", "deployment lease lost", 2.0),
        end_line(),
        log_line("c1", "upstream departed", 9.9, upstream="u1"),
    )
    assert [(row.node, row.at_ms) for row in timeline.rows] == [
        ("relay-1", 200.0),
        ("c1", 300.0),
        ("relay-1", 400.0),
    ]
    assert timeline.uncompared == ("c1",)


def test_crashes_of_earlier_attempts_are_included():
    suspicion = {"upstream": "u9", "crash_count": 1}
    (timeline,) = timelines(
        log_line("relay-2", "request suspected", -50.0, fingerprint="f1", **suspicion),
        log_line("relay-2", "request suspected", 9.0, fingerprint="f2", **suspicion),
        log_line("relay-1", "upstream crashed", 9.8, upstream="u1"),
        end_line(fingerprint="f1"),
    )
    assert [(row.node, row.event) for row in timeline.rows] == [
        ("relay-2", "request suspected"),
        ("relay-1", "upstream crashed"),
        ("relay-1", "request ended"),
    ]


def test_crashes_of_requests_with_the_refused_prompt_part_are_included():
    def suspected(node, at_s, **fields):
        return log_line(
            node, "request suspected", at_s, **{"fingerprint": "other", **fields}
        )

    part = {"prompt_part": "ab12"}
    (timeline,) = timelines(
        suspected("relay-2", -50.0, told_by="relay-2", prompt_parts=["ab12", "cd34"]),
        suspected("relay-1", -49.9, told_by="relay-2", prompt_parts=["ab12", "cd34"]),
        suspected("relay-2", -40.0, told_by="relay-2", prompt_parts=["cd34"]),
        log_line("relay-1", "prompt part refused", -30.0, **part),
        log_line("relay-1", "prompt part refused", -30.0, prompt_part="cd34"),
        end_line(
            outcome="refused: request_crashes_upstreams: 3 upstreams crashed while "
            "they ran requests with the prompt part ab12"
        ),
    )
    assert [(row.node, row.event) for row in timeline.rows] == [
        ("relay-2", "request suspected"),
        ("relay-1", "prompt part refused"),
        ("relay-1", "request ended"),
    ]


@pytest.mark.parametrize(
    "fields",
    [
        {"took_ms": "long"},
        {"prompt_parts": "ab12"},
        {"took_ms": None},
        {"attempts": None},
        {"attempts": [1]},
        {"upstream": ["u1"]},
        {"outcome": 7},
    ],
)
def test_line_with_wrong_field_types_is_reported_and_skipped(fields):
    logs = parse_lines("log", [end_line(**fields), end_line()])
    assert len(build_timelines(logs.lines, "q1")) == 1
    (fault,) = logs.faults
    assert fault.startswith("log:1: not a log line")


def test_request_that_ended_twice_has_two_timelines():
    assert len(timelines(end_line(), end_line(20.0, outcome="answered 200"))) == 2


def run_explain(monkeypatch, capsys, *arguments):
    monkeypatch.setattr("sys.argv", ["cranberryfield", "explain", *arguments])
    code = 0
    try:
        client.main()
    except SystemExit as stop:
        code = stop.code
    return code, capsys.readouterr()


def test_unreadable_lines_and_files_are_reported_and_skipped(
    tmp_path, monkeypatch, capsys
):
    log = tmp_path / "relay.log"
    log.write_text(f"{end_line()}\nno line\n" + end_line(20.0)[:40])
    code, output = run_explain(
        monkeypatch, capsys, "q1", str(log), str(tmp_path / "none")
    )
    assert not code
    assert "nothing failed" in output.out
    assert f"{log}:2: not a log line" in output.err
    assert f"{log}:3: not a log line" in output.err
    assert "none: No such file" in output.err


def test_unknown_request_id_is_an_error(tmp_path, monkeypatch, capsys):
    log = tmp_path / "relay.log"
    log.write_text(end_line())
    code, output = run_explain(monkeypatch, capsys, "q9", str(log))
    assert code == 4
    assert "none of 1 log lines records the end of request 'q9'" in output.err
