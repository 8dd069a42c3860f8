"""Errors of single messages, links and watchers, over real sockets on loopback."""

import anyio

from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import AskUpstreams, UpstreamUpdate
from standins.processes import free_port

KEY = "a-key-of-the-mesh"


def make_mesh(node):
    return Mesh(Hello(node, "g", 1, "fann", ("relay",), "", ""), KEY)


async def linked(first, second, run):
    """Link two processes, the second of which has dialled; call `run`."""
    address = f"127.0.0.1:{free_port()}"
    async with anyio.create_task_group() as tasks:
        await tasks.start(first.listen, address)
        tasks.start_soon(second.dial, address)
        with anyio.fail_after(10):
            while not (first.is_linked("second") and second.is_linked("first")):
                await anyio.sleep(0.01)
            await run()
        tasks.cancel_scope.cancel()


# Guards against LOST: a message that cannot be encoded ended the process that dialled.
def test_message_that_cannot_be_encoded_is_skipped():
    first, second = make_mesh("first"), make_mesh("second")
    received = []
    first.handle(AskUpstreams, lambda sender, message: received.append(message.digest))

    async def run():
        second.send("first", AskUpstreams("\ud800"))
        second.send("first", AskUpstreams(7))
        while not received:
            await anyio.sleep(0.01)

    anyio.run(linked, first, second, run)
    assert received == [7]


# Guards against a watcher that fails and hides a link from the others, or ends it.
def test_watcher_that_fails_ends_no_link():
    first, second = make_mesh("first"), make_mesh("second")
    seen = []

    def fail(peer, is_open):
        raise KeyError(peer.node)

    second.watch_links(fail)
    second.watch_links(lambda peer, is_open: seen.append((peer.node, is_open)))
    first.handle(AskUpstreams, lambda sender, message: UpstreamUpdate((), ()))

    async def run():
        assert await second.request("first", AskUpstreams(7), 5.0)

    anyio.run(linked, first, second, run)
    assert seen[0] == ("first", True)


# Guards against a process that ends since it cannot serve a link that it has dialled.
def test_link_that_fails_is_dialled_again(monkeypatch):
    first, second = make_mesh("first"), make_mesh("second")
    serve_link = second._serve_link
    failures = []

    async def fail_once(*arguments):
        if not failures:
            failures.append(1)
            raise OverflowError
        await serve_link(*arguments)

    monkeypatch.setattr(second, "_serve_link", fail_once)

    async def run():
        assert failures

    anyio.run(linked, first, second, run)
