import anyio
import cbor2
import pytest
import structlog
from websockets.asyncio.client import connect

from cranberryfield.core.errors import CranberryfieldError, ErrorKind, ProtocolError
from cranberryfield.core.features import SUPPORTED_LEVEL, FeatureLevel
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.codec import (
    FRAME_VERSION,
    EnvelopeKind,
    SkipReason,
    decode_frame,
)
from cranberryfield.core.messages.consensus import JoinGroup
from cranberryfield.core.messages.deployment import AskControlHosts, ControlHosts
from cranberryfield.core.messages.links import Failure, Hello
from standins.processes import free_port

KEY = "key"
TIMEOUT_S = 5.0
SEND, REQUEST, REPLY = EnvelopeKind
KNOWN = ["JoinGroup", "a~1"]
UNKNOWN = ["FromALaterBuild", {"x": [1, b"2"]}]


def frame(*envelopes, version=FRAME_VERSION):
    return cbor2.dumps([version, envelopes])


def hello(node, *more):
    return ["Hello", node, "g", 1, "d", ["control"], "127.0.0.1:1", "", *more]


# Guards against a frame that loses what is known in it, or its order, beside what is
# not, and against content that is skipped without being reported.
@pytest.mark.parametrize(
    ("envelopes", "read", "skipped"),
    [
        ([[SEND, 0, KNOWN]], ["a~1"], []),
        (
            [[SEND, 0, KNOWN], [REQUEST, 4, UNKNOWN], [SEND, 0, ["JoinGroup", "b~2"]]],
            ["a~1", "b~2"],
            [(SkipReason.UNKNOWN_MESSAGE, REQUEST, 4, "FromALaterBuild")],
        ),
        (
            [[SEND, 0, [*KNOWN, "added", 7]]],
            ["a~1"],
            [(SkipReason.UNKNOWN_FIELDS, SEND, 0, "JoinGroup")],
        ),
        (
            [[SEND, 0, ["JoinGroup", 8]], [SEND, 0, KNOWN]],
            ["a~1"],
            [(SkipReason.UNREADABLE_MESSAGE, SEND, 0, "JoinGroup")],
        ),
        (
            [[SEND, 0, ["ReplicaEnvelope", "a", "b", UNKNOWN]], [SEND, 0, KNOWN]],
            ["a~1"],
            [(SkipReason.UNREADABLE_MESSAGE, SEND, 0, "ReplicaEnvelope")],
        ),
        (
            [[9, 0, KNOWN], [SEND, 0, KNOWN, "added"]],
            ["a~1"],
            [(SkipReason.UNREADABLE_MESSAGE, 9, 0, "JoinGroup")],
        ),
    ],
)
def test_what_is_known_in_a_frame_is_read(envelopes, read, skipped):
    found = []
    decoded = decode_frame(frame(*envelopes), found.append, checks_fields=True)
    assert [envelope.message.replica for envelope in decoded] == read
    assert found == skipped


@pytest.mark.parametrize(
    "data",
    [
        b"\xff",
        cbor2.dumps(7),
        cbor2.dumps([FRAME_VERSION]),
        cbor2.dumps([FRAME_VERSION, 3]),
        cbor2.dumps([FRAME_VERSION, [4]]),
        cbor2.dumps([FRAME_VERSION, [[0, 0, 5]]]),
        frame([SEND, 0, KNOWN], version=FRAME_VERSION + 1),
        frame([SEND, 0, UNKNOWN], version=FRAME_VERSION + 1),
    ],
)
def test_what_is_no_frame_of_this_version_is_refused(data):
    with pytest.raises(ProtocolError):
        decode_frame(data)


class Peer:
    """A linked process of another build, which writes its own frames."""

    def __init__(self, connection):
        self._connection = connection

    async def send(self, *envelopes):
        await self._connection.send(frame(*envelopes))

    async def receive(self):
        with anyio.fail_after(TIMEOUT_S):
            (envelope,) = decode_frame(await self._connection.recv())
        return envelope

    async def send_raw(self, data):
        await self._connection.send(data)

    async def wait_closed(self):
        with anyio.fail_after(TIMEOUT_S):
            await self._connection.wait_closed()


def run_linked(scenario, greeting):
    """Run a scenario with a mesh and a raw peer that is linked with it.

    Returns what the mesh has logged meanwhile.
    """

    async def run():
        address = f"127.0.0.1:{free_port()}"
        mesh = Mesh(
            Hello("own", "g", 1, "d", ("control",), address, "", SUPPORTED_LEVEL), KEY
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(mesh.listen, address)
            headers = {"Authorization": f"Bearer {KEY}"}
            async with connect(
                f"ws://{address}/", additional_headers=headers, proxy=None
            ) as connection:
                peer = Peer(connection)
                await peer.send([SEND, 0, greeting])
                assert isinstance((await peer.receive()).message, Hello)
                with anyio.fail_after(TIMEOUT_S):
                    while not mesh.is_linked("peer"):
                        await anyio.sleep(0.01)
                await scenario(mesh, peer)
            with anyio.fail_after(TIMEOUT_S):
                while mesh.is_linked("peer"):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    with structlog.testing.capture_logs() as logs:
        anyio.run(run)
    return logs


# Guards against a link that closes at a message of a later build, a request of one
# that is left without a reply, and a log line for each of many such messages.
def test_unknown_messages_are_skipped_and_the_link_stays_open():
    async def scenario(mesh, peer):
        mesh.handle(AskControlHosts, lambda sender, message: ControlHosts(()))
        for number in range(1, 40):
            await peer.send([SEND, 0, UNKNOWN], [REQUEST, number, UNKNOWN])
            reply = await peer.receive()
            assert (reply.kind, reply.call) == (REPLY, number)
            assert reply.message == Failure(
                ErrorKind.PROTOCOL.value, "unknown message FromALaterBuild"
            )
        await peer.send([REQUEST, 40, KNOWN])
        assert (await peer.receive()).message.kind == ErrorKind.NOT_READY.value
        await peer.send([REQUEST, 41, ["AskControlHosts", "added"]])
        assert (await peer.receive()).message == ControlHosts(())
        assert mesh.skipped_messages == 79

    logs = run_linked(scenario, hello("peer", 7, "added"))
    skipped = [
        (one["message"], one["reason"], one["peer"], one["peer_level"])
        for one in logs
        if one["event"] == "message skipped"
    ]
    assert skipped == [
        ("FromALaterBuild", "unknown message", "peer", 7),
        ("JoinGroup", "no handler", "peer", 7),
    ]


# Guards against a caller that waits for its time-out although the reply has come but
# cannot be read, and against an error kind of a later build that escapes as such.
@pytest.mark.parametrize(
    ("reply", "kind"),
    [
        (UNKNOWN, ErrorKind.PROTOCOL),
        (["Failure", "kind_of_a_later_build", "why"], ErrorKind.INTERNAL),
        (["Failure", "drained", "why"], ErrorKind.DRAINED),
    ],
)
def test_an_unknown_reply_fails_its_request_at_once(reply, kind):
    async def scenario(mesh, peer):
        async def answer():
            request = await peer.receive()
            assert request.message == JoinGroup("a~1")
            await peer.send([REPLY, request.call, reply])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(answer)
            with pytest.raises(CranberryfieldError) as caught:
                await mesh.request("peer", JoinGroup("a~1"), TIMEOUT_S * 2)
        assert caught.value.kind is kind

    run_linked(scenario, hello("peer"))


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff", "cannot be decoded"),
        (frame(version=2), "frame has format version 2, not 1"),
        (None, "connection ended: received 1000"),
    ],
)
def test_the_reason_of_a_closed_link_is_logged(data, reason):
    async def scenario(mesh, peer):
        if data is not None:
            await peer.send_raw(data)
            await peer.wait_closed()

    logs = run_linked(scenario, hello("peer"))
    (closed,) = [one for one in logs if one["event"] == "link closed"]
    assert reason in closed["reason"]


@pytest.mark.parametrize(
    ("greeting", "supports"),
    [
        (hello("peer"), False),
        (hello("peer", 0), False),
        (hello("peer", 1), True),
        (hello("peer", 9, "added"), True),
    ],
)
def test_a_mesh_knows_what_its_peers_understand(greeting, supports):
    async def scenario(mesh, peer):
        assert mesh.supports("peer", FeatureLevel.BASE)
        assert mesh.supports("peer", FeatureLevel.ROLLOUTS) is supports
        assert mesh.supports("own", SUPPORTED_LEVEL)
        assert not mesh.supports("unlinked", FeatureLevel.BASE)

    run_linked(scenario, greeting)
