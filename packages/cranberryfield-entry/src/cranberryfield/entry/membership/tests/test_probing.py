"""Probes of upstreams whose addresses or answers cannot be used."""

from types import SimpleNamespace

import anyio
import httpx
import pytest

from cranberryfield.entry.membership.probing import UpstreamProber


class FailingClient:
    def __init__(self, error):
        self.error = error

    async def get(self, url):
        raise self.error


# Guards against LOST: the announcement of one upstream ended an entry host.
@pytest.mark.parametrize(
    "error",
    [httpx.InvalidURL("port"), OverflowError(), ValueError(), httpx.ConnectError("no")],
)
def test_a_probe_that_fails_ends_no_other(error):
    record = SimpleNamespace(upstream="u", address="127.0.0.1:port")
    prober = UpstreamProber(None, None, FailingClient(error), lambda: 0.0)
    prober._probing.add("u")
    anyio.run(prober._probe, SimpleNamespace(record=record))
    assert not prober._probing
