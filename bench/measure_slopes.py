"""Marginal cost per object (upstream, claim, event, ...): memory, processor, wire.

All measurements run inside this process; `bench.measure_rest` measures whole
nodes. The sizes are those of `docs/CAPACITY.md` or fractions of them.
"""

from random import Random

import anyio

from bench.figures import Figure
from bench.slopes import cpu_seconds, measure_slope, memory_bytes
from cranberryfield.control.claims import ClaimTable, apply_claim_command
from cranberryfield.control.settings import SettingsState, apply_change
from cranberryfield.core.ids import (
    ChangeId,
    DataCentre,
    Incarnation,
    NodeId,
    RequestKey,
    Revision,
    RunId,
    ServiceName,
    UpstreamId,
    WorkspaceId,
)
from cranberryfield.core.messages.claims import (
    ClaimState,
    CloseClaim,
    OpenClaim,
    RecordDispatch,
)
from cranberryfield.core.messages.codec import (
    Envelope,
    EnvelopeKind,
    decode_frame,
    decode_message,
    encode_frame,
    encode_message,
)
from cranberryfield.core.messages.commands import ChangeSettings, LevelEdit
from cranberryfield.core.messages.membership import (
    LoadReport,
    PeerRecord,
    PeerState,
    Renewal,
    RenewalUpdate,
    UpstreamRecord,
    UpstreamUpdate,
)
from cranberryfield.core.messages.settings import SettingsDelta
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.settings import EffectiveSettings, LevelState, SettingsTree
from cranberryfield.core.settings.follow import SettingsSection, apply_changes
from cranberryfield.entry.callers.responses import stream_events
from cranberryfield.entry.dispatch.event_payloads import EventPayloadParser
from cranberryfield.entry.membership import UpstreamsSection, merge_upstream
from cranberryfield.entry.membership.peers import PeersSection, merge_peer
from cranberryfield.entry.membership.upstreams import merge_renewal
from cranberryfield.entry.quarantine import body_digest
from cranberryfield.entry.requests import RecordsSection, Request
from cranberryfield.entry.requests.records import RequestRecord

__all__ = ["measure"]

SEED = 20
DATA_CENTRES = 7
SERVICES = 12
WORKSPACES = 40
BODY_BYTES = 2048
EVENT = (
    b'{"id":"c1","object":"text_completion","created":0,"model":"m",'
    b'"choices":[{"index":0,"text":" %06d","finish_reason":null}]}'
)
EVENTS_PER_ANSWER = 100
US_PER_S = 1e6
NS_PER_S = 1e9

SETTINGS = EffectiveSettings()


def _upstream(number: int) -> UpstreamRecord:
    return UpstreamRecord(
        UpstreamId(f"runner-{number}"),
        Incarnation(1_764_794_800_000 + number),
        number,
        ServiceName(f"service-{number % SERVICES}"),
        DataCentre(f"data-centre-{number % DATA_CENTRES}"),
        f"10.0.{number // 250}.{number % 250}:8100",
        "standard",
        ("resume", "kv-export"),
        8,
        2000,
        False,
        LoadReport(3, 1, 800),
        NodeId(f"entry-{number % 360}"),
    )


def _peer(number: int) -> PeerRecord:
    return PeerRecord(
        NodeId(f"entry-{number}"),
        Incarnation(1_764_794_800_000 + number),
        number,
        PeerState.ALIVE,
        DataCentre(f"data-centre-{number % DATA_CENTRES}"),
        f"10.1.{number // 250}.{number % 250}:9000",
        f"10.1.{number // 250}.{number % 250}:8000",
    )


def _request(number: int, body: bytes) -> Request:
    path = "/v1/completions"
    return Request(
        workspace=WorkspaceId(f"workspace-{number % WORKSPACES}"),
        service=ServiceName("service-1"),
        key=RequestKey(f"key-{number:012d}"),
        has_caller_key=True,
        run=RunId(f"{number:032x}"),
        idempotent=True,
        method="POST",
        path=path,
        content_type="application/json",
        body=body,
        digest=body_digest("POST", path, body),
        priority="standard",
        deadline=120.0,
        settings=SETTINGS,
    )


def _frame(message) -> bytes:
    return encode_frame((Envelope(EnvelopeKind.SEND, 0, message),))


def _message(frame: bytes):
    return decode_frame(frame)[0].message


# Memory


def _upstream_table(count: int) -> UpstreamsSection:
    section = UpstreamsSection()
    for number in range(count):
        (record,) = _message(_frame(UpstreamUpdate((_upstream(number),), (0,)))).records
        merge_upstream(section, record, 1.0)
    return section


def _peer_table(count: int) -> PeersSection:
    section = PeersSection(NodeId("entry-0"))
    for number in range(count):
        merge_peer(section, _peer(number), 1.0)
    return section


def _answered_record(number: int) -> RequestRecord:
    record = RequestRecord(_request(number, b"%d" % number + bytes(BODY_BYTES)))
    record.add_events([EVENT % index for index in range(EVENTS_PER_ANSWER)])
    record.finish(2.0)
    return record


def _claim_commands(number: int) -> tuple:
    name = (WorkspaceId(f"workspace-{number % WORKSPACES}"), RequestKey(f"{number:x}"))
    token = f"{number:032x}"
    node, session = NodeId("entry-1"), "session"
    return (
        OpenClaim(*name, bytes(16), node, session, token, 600_000),
        RecordDispatch(
            *name, 1, token, 1, UpstreamId("runner-1"), Incarnation(1), 30_000
        ),
        CloseClaim(*name, 1, token, ClaimState.ANSWERED, 200, "text/plain", bytes(256)),
    )


def _claim_table(count: int) -> ClaimTable:
    table = ClaimTable()
    for number in range(count):
        for command in _claim_commands(number):
            decoded = decode_message(encode_message(command))
            apply_claim_command(table, decoded, SETTINGS)
    return table


def _settings_levels(count: int) -> dict[str, LevelState]:
    rng = Random(SEED)
    return {
        f"workspace/w-{number}": LevelState(
            number, {"share": rng.random() + 0.1, "retention_ms": number + 1}
        )
        for number in range(count)
    }


def _settings_history(count: int) -> SettingsState:
    state = SettingsState()
    for number in range(count):
        edit = LevelEdit("workspace/w", None, {"share": float(number + 1)})
        apply_change(state, ChangeSettings(ChangeId(f"{number:032x}"), "ana", (edit,)))
    return state


def _metrics_with_series(series: int) -> Metrics:
    metrics = Metrics()
    for number in range(series):
        metrics.observe("request", 0.2, workspace=f"w-{number}", priority="standard")
    return metrics


def _memory_slopes() -> list[Figure]:
    cases = [
        ("upstream", [230, 460, 930], _upstream_table),
        ("peer", [90, 180, 360], _peer_table),
        (
            "record",
            [100, 200, 400],
            lambda count: [_answered_record(number) for number in range(count)],
        ),
        ("claim", [2000, 4000, 8000], _claim_table),
        ("settings_level", [200, 400, 800], _settings_levels),
        ("kept_change", [200, 400, 800], _settings_history),
        ("histogram", [50, 100, 200], _metrics_with_series),
    ]
    return [
        measure_slope(
            sizes, lambda size, build=build: memory_bytes(lambda: build(size))
        ).figure(f"slopes.memory.per_{name}", "bytes")
        for name, sizes, build in cases
    ]


# Processor time


def _cpu_of_gossip(count: int) -> float:
    records = tuple(_upstream(number) for number in range(count))
    frame = _frame(UpstreamUpdate(records, (0,) * count))

    def work() -> None:
        section = UpstreamsSection()
        for record in _message(frame).records:
            merge_upstream(section, record, 1.0)

    return cpu_seconds(work)


def _renewals(count: int) -> bytes:
    return _frame(
        RenewalUpdate(
            tuple(
                Renewal(
                    UpstreamId(f"runner-{number}"),
                    Incarnation(1_764_794_800_000 + number),
                    7,
                    LoadReport(3, 1, 800),
                    12,
                )
                for number in range(count)
            )
        )
    )


def _cpu_of_renewals(count: int) -> float:
    section = _upstream_table(count)
    frame = _renewals(count)

    def work() -> None:
        for renewal in _message(frame).renewals:
            merge_renewal(section, renewal, 2.0)

    return cpu_seconds(work)


def _cpu_of_claims(count: int) -> float:
    encoded = [
        encode_message(command)
        for number in range(count)
        for command in _claim_commands(number)
    ]

    def work() -> None:
        table = ClaimTable()
        for data in encoded:
            apply_claim_command(table, decode_message(data), SETTINGS)

    return cpu_seconds(work)


def _cpu_of_delta(levels: int) -> float:
    section = SettingsSection(SettingsTree(1, _settings_levels(levels)))
    changed = {"workspace/w-1": LevelState(2, {"share": 2.0})}
    deltas = 200

    def work() -> None:
        for _ in range(deltas):
            base = section.tree.revision
            apply_changes(section, base, SettingsTree(base + 1, changed), ())

    return cpu_seconds(work) / deltas


def _cpu_of_tokens(count: int) -> float:
    chunks = [b"data: " + EVENT % number + b"\n\n" for number in range(count)]

    async def relay() -> None:
        record = RequestRecord(_request(1, b"{}"))
        parser = EventPayloadParser()
        events = stream_events(record, 0)
        for chunk in chunks:
            record.add_events(parser.feed(chunk))
            await anext(events)
        record.finish(1.0)

    return cpu_seconds(lambda: anyio.run(relay))


def _cpu_of_opening_record(existing: int) -> float:
    section = RecordsSection()
    rng = Random(SEED)
    for number in range(existing):
        record = _answered_record(number)
        section.records[(record.request.workspace, record.request.key)] = record
    opened = [_request(rng.randrange(10**9, 10**10), b"{}") for _ in range(20)]

    def work() -> None:
        for request in opened:
            section.open(request, 3.0)
            section.records.pop((request.workspace, request.key))

    return cpu_seconds(work) / len(opened)


def _cpu_of_observations(count: int) -> float:
    metrics = Metrics()

    def work() -> None:
        for number in range(count):
            metrics.observe("request", number / 1e4, workspace="w", priority="standard")

    return cpu_seconds(work)


def _cpu_slopes() -> list[Figure]:
    cases = [
        ("gossip_record", [100, 200, 400], _cpu_of_gossip),
        ("renewal", [100, 200, 400], _cpu_of_renewals),
        ("claim", [500, 1000, 2000], _cpu_of_claims),
        ("token_event", [2000, 4000, 8000], _cpu_of_tokens),
        ("observation", [5000, 10_000, 20_000], _cpu_of_observations),
    ]
    figures = [
        measure_slope(sizes, cost_at).figure(f"slopes.cpu.per_{name}", "us", US_PER_S)
        for name, sizes, cost_at in cases
    ]
    per_level = measure_slope([500, 1000, 2000, 4000], _cpu_of_delta)
    per_existing = measure_slope([100, 200, 400], _cpu_of_opening_record)
    return [
        *figures,
        per_level.figure("slopes.cpu.delta_per_level", "ns", NS_PER_S),
        per_existing.figure("slopes.cpu.opening_per_kept_record", "us", US_PER_S),
    ]


# Bytes on the wire


def _wire_slopes() -> list[Figure]:
    def update(count: int) -> float:
        records = tuple(_upstream(number) for number in range(count))
        return float(len(_frame(UpstreamUpdate(records, (0,) * count))))

    def claims(count: int) -> float:
        commands = [command for n in range(count) for command in _claim_commands(n)]
        return float(sum(len(encode_message(command)) for command in commands))

    def delta(count: int) -> float:
        return float(len(encode_message(_settings_delta(count))))

    cases = [
        ("gossip_record", [100, 200, 400], update),
        ("renewal", [100, 200, 400], lambda count: float(len(_renewals(count)))),
        ("claim", [100, 200, 400], claims),
        ("settings_level", [100, 200, 400], delta),
    ]
    return [
        measure_slope(sizes, cost_at).figure(f"slopes.wire.per_{name}", "bytes")
        for name, sizes, cost_at in cases
    ]


def _settings_delta(count: int) -> SettingsDelta:
    return SettingsDelta(Revision(1), Revision(2), _settings_levels(count))


def measure() -> list[Figure]:
    """Measure all slopes.

    Returns
    -------
    list of Figure
        Memory in bytes, processor time in microseconds or nanoseconds, and wire
        size in bytes, each per additional object of the kind in the name.
    """
    return [*_memory_slopes(), *_cpu_slopes(), *_wire_slopes()]
