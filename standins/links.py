"""The links of a group, each through a fault proxy that runs in a thread."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from anyio.from_thread import BlockingPortal, start_blocking_portal

from standins.ports import SharedPort
from standins.processes import free_port
from standins.proxy import FaultProxy, Faults

__all__ = ["CALLERS", "ENTRIES", "Links", "running_links"]

#: Returns process ids by name.
Owners = Callable[[], dict[str, int]]

#: Names that stand for all callers, and for all entry hosts at an upstream.
CALLERS = "callers"
ENTRIES = "entries"


@dataclass(slots=True)
class Links:
    """Proxies by who dials and who is dialled.

    Attributes
    ----------
    portal : anyio.from_thread.BlockingPortal
        Reaches the proxies' event loop.
    proxies : dict
        By names of both ends.
    """

    portal: BlockingPortal
    proxies: dict[tuple[str, str], FaultProxy] = field(default_factory=dict)

    def open(self, source: str, target: str, target_port: int) -> str:
        """Start the proxy of one link, once; return its address."""
        proxy = self.proxies.get((source, target))
        if proxy is None:
            proxy = FaultProxy(free_port(), target_port)
            self.portal.start_task(proxy.run)
            self.proxies[source, target] = proxy
        proxy.target_port = target_port
        return f"127.0.0.1:{proxy.port}"

    def share(self, target: str, target_port: int, owners: Owners) -> str:
        """Start one port for all processes that dial `target`.

        Each process's connections have a proxy of their own.
        """

        def proxy_of(source: str) -> FaultProxy:
            proxy = self.proxies.get((source, target))
            if proxy is None:
                proxy = FaultProxy(0, target_port)
                self.proxies[source, target] = proxy
            return proxy

        shared = SharedPort(free_port(), owners, proxy_of)
        self.portal.start_task(shared.run)
        return f"127.0.0.1:{shared.port}"

    def add_shared(self, source: str, target: str, target_port: int) -> None:
        """Prepare the proxy of a process that may dial a shared port."""
        self.proxies[source, target] = FaultProxy(0, target_port)

    def ends(self, first: str, second: str) -> list[tuple[FaultProxy, bool]]:
        """Return the proxies between two ends, and whether `first` dials."""
        found = []
        for (source, target), proxy in self.proxies.items():
            if (source, target) == (first, second):
                found.append((proxy, True))
            elif (source, target) == (second, first):
                found.append((proxy, False))
        return found

    def hold(self, sender: str, receiver: str, *, held: bool = True) -> None:
        """Let what `sender` sends to `receiver` wait."""
        for proxy, dials in self.ends(sender, receiver):
            side = "hold_to_target" if dials else "hold_to_client"
            setattr(proxy.faults, side, held)

    def drop(self, sender: str, receiver: str) -> None:
        """Lose what `sender` sends to `receiver`: a one-way cut."""
        for proxy, dials in self.ends(sender, receiver):
            side = "drop_to_target" if dials else "drop_to_client"
            setattr(proxy.faults, side, True)

    def cut(self, first: str, second: str) -> None:
        """Close open connections and refuse new ones."""
        for proxy, _ in self.ends(first, second):
            self.portal.call(proxy.stop_listening)
            self.portal.call(proxy.cut_open)

    def refuse(self, target: str) -> None:
        """Refuse new connections to a process that has ended."""
        for (_, dialled), proxy in self.proxies.items():
            if dialled == target:
                self.portal.call(proxy.stop_listening)

    def silence(self, first: str, second: str) -> None:
        """Carry nothing more on open connections; new ones work."""
        for proxy, _ in self.ends(first, second):
            self.portal.call(proxy.silence_open)

    def delay(self, first: str, second: str, delay_s: float) -> None:
        """Delay what goes either way, in seconds."""
        for proxy, _ in self.ends(first, second):
            proxy.faults.delay_s = delay_s

    def held(self, sender: str, receiver: str) -> int:
        """Return how many bytes from `sender` to `receiver` wait."""
        return sum(
            (proxy.to_target if dials else proxy.to_client).held
            for proxy, dials in self.ends(sender, receiver)
        )

    def sent(self, sender: str, receiver: str) -> int:
        """Return how many bytes from `sender` have gone to `receiver`."""
        return sum(
            (proxy.to_target if dials else proxy.to_client).sent
            for proxy, dials in self.ends(sender, receiver)
        )

    def release(self) -> None:
        """End all holds."""
        for proxy in self.proxies.values():
            proxy.faults.hold_to_target = False
            proxy.faults.hold_to_client = False

    def heal(self, target: str | None = None) -> None:
        """Undo all faults, or those of the links to one process."""
        for (_, dialled), proxy in self.proxies.items():
            if target in (None, dialled):
                proxy.faults = Faults()
                self.portal.call(proxy.start_listening)

    def drop_stale(self) -> None:
        """Close the connections that were silenced, as the network has healed."""
        for proxy in self.proxies.values():
            self.portal.call(proxy.cut_silenced)


@contextmanager
def running_links() -> Iterator[Links]:
    """Run a thread for proxies and end it with all of them.

    Yields
    ------
    Links
        Without any link yet.
    """
    with start_blocking_portal() as portal:
        links = Links(portal)
        try:
            yield links
        finally:
            portal.call(portal.stop, True)
