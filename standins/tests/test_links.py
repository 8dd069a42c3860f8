import os
import socket
import subprocess
import sys
import threading
from contextlib import suppress

import pytest

from standins.links import running_links
from standins.processes import free_port, wait_until
from standins.shared_port import find_connection_owner

TIMEOUT_S = 5.0


@pytest.fixture
def echo():
    """Port of an echo server."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def answer(connection):
            with connection:
                while data := connection.recv(100):
                    connection.sendall(data)

        def accept():
            while True:
                try:
                    connection, _ = server.accept()
                except OSError:
                    return
                threading.Thread(target=answer, args=(connection,), daemon=True).start()

        threading.Thread(target=accept, daemon=True).start()
        yield server.getsockname()[1]
        server.shutdown(socket.SHUT_RDWR)


@pytest.fixture
def links():
    with running_links() as running:
        yield running


def dial(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), TIMEOUT_S)


def send_and_receive(connection, text):
    connection.sendall(text)
    return connection.recv(100)


DIRECTIONS = [("a", "b"), ("b", "a")]


@pytest.mark.parametrize(("sender", "receiver"), DIRECTIONS)
def test_held_bytes_arrive_once_released(links, echo, sender, receiver):
    with dial(links.open_link("a", "b", echo)) as connection:
        links.hold(sender, receiver)
        connection.sendall(b"x")
        wait_until(lambda: links.held_bytes(sender, receiver) == 1, "held")
        links.release()
        assert connection.recv(100) == b"x"
        assert links.forwarded_bytes(sender, receiver) == 1


@pytest.mark.parametrize("fault", ["silence", "drop"])
def test_lost_bytes_never_arrive(links, echo, fault):
    address = links.open_link("a", "b", echo)
    with dial(address) as connection:
        assert send_and_receive(connection, b"x") == b"x"
        getattr(links, fault)("a", "b")
        connection.sendall(b"y")
        connection.settimeout(0.2)
        with pytest.raises(TimeoutError):
            connection.recv(100)
    if fault == "silence":
        with dial(address) as connection:
            assert send_and_receive(connection, b"z") == b"z"


def test_cut_closes_and_refuses_until_healed(links, echo):
    address = links.open_link("a", "b", echo)
    with dial(address) as connection:
        assert send_and_receive(connection, b"x") == b"x"
        links.cut("b", "a")
        with suppress(ConnectionResetError):
            assert connection.recv(100) == b""
    with pytest.raises(ConnectionRefusedError):
        dial(address)
    links.heal()
    with dial(address) as connection:
        assert send_and_receive(connection, b"x") == b"x"


def test_shared_port_identifies_the_connecting_process(links, echo):
    address = links.open_shared_port(
        "b", echo, lambda: {"other": os.getppid(), "a": os.getpid()}
    )
    links.add_shared_proxy("a", "b", echo)
    with dial(address) as connection:
        assert send_and_receive(connection, b"x") == b"x"
        assert links.forwarded_bytes("a", "b") == 1
        assert links.forwarded_bytes("other", "b") == 0
        port = connection.getsockname()[1]
        dialled = connection.getpeername()[1]
        assert find_connection_owner(port, dialled, {"a": os.getpid()}) == "a"
        assert find_connection_owner(port, dialled, {}) is None


def test_local_port_of_two_connections_has_two_owners(echo):
    """The kernel may use one local port for connections to two destinations."""
    with socket.create_server(("127.0.0.1", 0)) as other:
        script = (
            "import socket, sys; s = socket.socket();"
            "s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1);"
            "s.bind(('127.0.0.1', int(sys.argv[1])));"
            "s.connect(('127.0.0.1', int(sys.argv[2])));"
            "print('connected', flush=True); sys.stdin.read()"
        )
        first = socket.socket()
        first.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        first.bind(("127.0.0.1", free_port()))
        port = first.getsockname()[1]
        dialled = other.getsockname()[1]
        child = subprocess.Popen(
            [sys.executable, "-c", script, str(port), str(dialled)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        with first, child:
            assert child.stdout.readline() == b"connected\n"
            first.connect(("127.0.0.1", echo))
            owners = {"here": os.getpid(), "child": child.pid}
            assert find_connection_owner(port, echo, owners) == "here"
            assert find_connection_owner(port, dialled, owners) == "child"
            child.stdin.close()
