import uuid
from functools import partial

import anyio
import httpx
import pytest

from standins.caller import call_service, stream_completion
from standins.fleets import NOTARY_KEY, RELEVE_KEY
from standins.group import OPERATOR_KEY, UPSTREAM_KEY
from standins.tokens import CompletionRequest, answer_text

COMPLETIONS = "/v1/completions"
BOOKINGS = "/services/booking-app/appointments"
BODY = {"model": "redacteur", "prompt": "crack in the wall", "max_tokens": 8}


def send_request(group, method, path, key=RELEVE_KEY, headers=None, host=0, **options):
    authorization = {"Authorization": f"Bearer {key}"} if key else {}
    return httpx.request(
        method,
        f"http://{group.entry_addresses[host]}{path}",
        headers={**authorization, **(headers or {})},
        timeout=20,
        trust_env=False,
        **options,
    )


def new_key_header():
    return {"Idempotency-Key": uuid.uuid4().hex}


def test_plain_completion_is_whole(fleet):
    response = send_request(fleet, "POST", COMPLETIONS, json=BODY)
    expected = answer_text(CompletionRequest("redacteur", BODY["prompt"], max_tokens=8))
    assert response.status_code == 200
    assert response.json()["choices"][0]["text"] == expected


def test_chat_completion_has_the_customary_shape(fleet):
    body = {
        "model": "redacteur",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 3,
    }
    answer = send_request(fleet, "POST", "/v1/chat/completions", json=body).json()
    assert answer["object"] == "chat.completion"
    assert answer["choices"][0]["message"]["role"] == "assistant"
    assert answer["usage"]["completion_tokens"] == 3


def test_stream_is_whole(fleet):
    answer = anyio.run(
        partial(
            stream_completion,
            fleet.entry_addresses,
            RELEVE_KEY,
            uuid.uuid4().hex,
            BODY,
        )
    )
    assert answer.is_whole
    assert answer.text == answer_text(
        CompletionRequest("redacteur", BODY["prompt"], max_tokens=8)
    )


def test_resend_with_last_event_id_gets_the_rest(fleet):
    headers = new_key_header()
    body = {**BODY, "stream": True}
    whole = send_request(fleet, "POST", COMPLETIONS, headers=headers, json=body).text
    rest = send_request(
        fleet,
        "POST",
        COMPLETIONS,
        headers={**headers, "Last-Event-ID": "5"},
        json=body,
    ).text
    assert whole.endswith(rest)
    assert rest.startswith("id: 6-")


def test_booking_resent_through_every_host_runs_once(fleet):
    key = uuid.uuid4().hex
    hosts = fleet.entry_addresses
    texts = {
        anyio.run(
            partial(
                call_service,
                hosts[number:],
                NOTARY_KEY,
                key,
                "booking-app/appointments",
                key.encode(),
            )
        ).text
        for number in range(len(hosts))
    }
    assert len(texts) == 1
    assert key in texts.pop()


INVALID_REQUESTS = [
    ("no key", COMPLETIONS, None, {}, b"{}", 401, "unauthenticated"),
    ("wrong key", COMPLETIONS, "nobody", {}, b"{}", 401, "unauthenticated"),
    ("not JSON", COMPLETIONS, RELEVE_KEY, {}, b"{", 400, "bad_request"),
    ("no model", COMPLETIONS, RELEVE_KEY, {}, b"{}", 400, "bad_request"),
    (
        "nested too deep",
        COMPLETIONS,
        RELEVE_KEY,
        {},
        b'{"model": "redacteur", "prompt": ' + b"[" * 100_000,
        400,
        "bad_request",
    ),
    (
        "unknown service",
        COMPLETIONS,
        RELEVE_KEY,
        {},
        b'{"model": "nothing"}',
        404,
        "unknown_service",
    ),
    (
        "plain service asked for a completion",
        COMPLETIONS,
        RELEVE_KEY,
        {},
        b'{"model": "booking-app"}',
        404,
        "unknown_service",
    ),
    (
        "over the limit",
        COMPLETIONS,
        RELEVE_KEY,
        {},
        b'{"model": "redacteur", "prompt": "' + b"a" * (1 << 20) + b'"}',
        413,
        "body_too_large",
    ),
    ("booking without a key", BOOKINGS, NOTARY_KEY, {}, b"x", 400, "key_required"),
    (
        "malformed key",
        BOOKINGS,
        NOTARY_KEY,
        {"Idempotency-Key": "two words"},
        b"x",
        400,
        "bad_request",
    ),
    (
        "malformed deadline",
        COMPLETIONS,
        RELEVE_KEY,
        {"Cranberryfield-Deadline-Ms": "soon"},
        b'{"model": "redacteur"}',
        400,
        "bad_request",
    ),
    (
        "unknown priority",
        COMPLETIONS,
        RELEVE_KEY,
        {"Cranberryfield-Priority": "now"},
        b'{"model": "redacteur"}',
        400,
        "bad_request",
    ),
    (
        "malformed flag",
        COMPLETIONS,
        RELEVE_KEY,
        {"Cranberryfield-Idempotent": "maybe"},
        b'{"model": "redacteur"}',
        400,
        "bad_request",
    ),
]


@pytest.mark.parametrize(
    ("path", "key", "headers", "body", "status", "kind"),
    [row[1:] for row in INVALID_REQUESTS],
    ids=[row[0] for row in INVALID_REQUESTS],
)
def test_bad_input_is_refused_and_not_run(
    fleet, path, key, headers, body, status, kind
):
    before = len(fleet.journal())
    response = send_request(fleet, "POST", path, key=key, headers=headers, content=body)
    assert (response.status_code, response.json()["kind"]) == (status, kind)
    assert response.json()["was_run"] == "no"
    assert response.headers["Content-Type"] == "application/problem+json"
    assert len(fleet.journal()) == before


def test_other_body_under_a_key_is_refused_on_every_host(fleet):
    headers = new_key_header()
    for host, body, status in [(0, b"one", 200), (0, b"two", 422), (1, b"two", 422)]:
        response = send_request(
            fleet, "POST", BOOKINGS, NOTARY_KEY, headers, host, content=body
        )
        assert response.status_code == status


def test_old_incarnation_is_refused(fleet):
    body = {
        "id": "redacteur-1",
        "incarnation": 1,
        "service": "redacteur",
        "data_centre": "plateau",
        "address": "127.0.0.1:1",
        "lease_ms": 1000,
    }
    response = send_request(
        fleet, "POST", "/upstreams/announce", key=UPSTREAM_KEY, json=body
    )
    assert (response.status_code, response.json()["kind"]) == (409, "stale_incarnation")


INVALID_CHANGES = [
    ("unknown level", "team/x", {"share": 1}, None, 404, "unknown_path"),
    ("unknown key", "system", {"colour": 1}, None, 404, "unknown_path"),
    ("wrong type", "system", {"queue_limit": "many"}, None, 422, "invalid_setting"),
    ("out of range", "system", {"queue_limit": -1}, None, 422, "invalid_setting"),
    ("wrong level", "system", {"share": 1}, None, 422, "invalid_setting"),
    ("stale", "service/redacteur", {"queue_limit": 1}, 0, 409, "stale_revision"),
    ("no kind", "service/new", {"queue_limit": 1}, None, 422, "invalid_setting"),
]


@pytest.mark.parametrize(
    ("level", "values", "revision", "status", "kind"),
    [row[1:] for row in INVALID_CHANGES],
    ids=[row[0] for row in INVALID_CHANGES],
)
def test_bad_change_changes_nothing(fleet, level, values, revision, status, kind):
    before = fleet.status("entry-1")["settings_revision"]
    edit = {"level": level, "set": values, "expected_revision": revision}
    response = send_request(
        fleet,
        "POST",
        "/operator/settings",
        key=OPERATOR_KEY,
        json={"change_id": uuid.uuid4().hex, "edits": [edit]},
    )
    assert (response.status_code, response.json()["kind"]) == (status, kind)
    assert fleet.status("entry-1")["settings_revision"] == before
