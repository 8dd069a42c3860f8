"""Network links of a group, each through a fault proxy in a background thread."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from anyio.from_thread import BlockingPortal, start_blocking_portal

from standins.processes import free_port
from standins.proxy import FaultProxy, Faults
from standins.shared_port import SharedPort

__all__ = ["CALLERS", "ENTRIES", "Links", "running_links"]

#: Returns process ids by process name.
ProcessIds = Callable[[], dict[str, int]]

#: Link ends that stand for all callers, and for all entry hosts at an upstream.
CALLERS = "callers"
ENTRIES = "entries"


@dataclass(slots=True)
class Links:
    """Fault proxies by source and target of the link.

    Attributes
    ----------
    portal : anyio.from_thread.BlockingPortal
        Portal to the event loop of the proxies.
    proxies : dict
        Proxies by names of source and target.
    """

    portal: BlockingPortal
    proxies: dict[tuple[str, str], FaultProxy] = field(default_factory=dict)

    def open_link(self, source: str, target: str, target_port: int) -> str:
        """Start the proxy of a link if needed and return its address."""
        proxy = self.proxies.get((source, target))
        if proxy is None:
            proxy = FaultProxy(free_port(), target_port)
            self.portal.start_task(proxy.run)
            self.proxies[source, target] = proxy
        proxy.target_port = target_port
        return f"127.0.0.1:{proxy.port}"

    def open_shared_port(
        self, target: str, target_port: int, owners: ProcessIds
    ) -> str:
        """Start a port shared by all processes that connect to `target`.

        Connections of each process go through their own proxy. Returns the
        address of the port.
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

    def add_shared_proxy(self, source: str, target: str, target_port: int) -> None:
        """Create the proxy for a process that may connect to a shared port."""
        self.proxies[source, target] = FaultProxy(0, target_port)

    def proxies_between(self, first: str, second: str) -> list[tuple[FaultProxy, bool]]:
        """Return the proxies between two ends and whether `first` is the source."""
        found = []
        for (source, target), proxy in self.proxies.items():
            if (source, target) == (first, second):
                found.append((proxy, True))
            elif (source, target) == (second, first):
                found.append((proxy, False))
        return found

    def hold(self, sender: str, receiver: str, *, held: bool = True) -> None:
        """Hold back data from `sender` to `receiver`, or stop holding it back."""
        for proxy, is_source in self.proxies_between(sender, receiver):
            fault_name = "hold_to_target" if is_source else "hold_to_client"
            setattr(proxy.faults, fault_name, held)

    def drop(self, sender: str, receiver: str) -> None:
        """Drop all data from `sender` to `receiver` (one-way partition)."""
        for proxy, is_source in self.proxies_between(sender, receiver):
            fault_name = "drop_to_target" if is_source else "drop_to_client"
            setattr(proxy.faults, fault_name, True)

    def cut(self, first: str, second: str) -> None:
        """Close open connections and refuse new ones."""
        for proxy, _ in self.proxies_between(first, second):
            self.portal.call(proxy.stop_listening)
            self.portal.call(proxy.close_open_connections)

    def refuse(self, target: str) -> None:
        """Refuse new connections to a process that has ended."""
        for (_, link_target), proxy in self.proxies.items():
            if link_target == target:
                self.portal.call(proxy.stop_listening)

    def silence(self, first: str, second: str) -> None:
        """Drop all further data of open connections; new connections work."""
        for proxy, _ in self.proxies_between(first, second):
            self.portal.call(proxy.silence_open_connections)

    def delay(self, first: str, second: str, delay_s: float) -> None:
        """Delay data in both directions by `delay_s` seconds."""
        for proxy, _ in self.proxies_between(first, second):
            proxy.faults.delay_s = delay_s

    def held_bytes(self, sender: str, receiver: str) -> int:
        """Return the number of bytes held back from `sender` to `receiver`."""
        return sum(
            (proxy.to_target if is_source else proxy.to_client).held
            for proxy, is_source in self.proxies_between(sender, receiver)
        )

    def forwarded_bytes(self, sender: str, receiver: str) -> int:
        """Return the number of bytes forwarded from `sender` to `receiver`."""
        return sum(
            (proxy.to_target if is_source else proxy.to_client).forwarded
            for proxy, is_source in self.proxies_between(sender, receiver)
        )

    def release(self) -> None:
        """Stop holding back data on all links."""
        for proxy in self.proxies.values():
            proxy.faults.hold_to_target = False
            proxy.faults.hold_to_client = False

    def heal(self, target: str | None = None) -> None:
        """Remove the faults of all links, or of the links to one process."""
        for (_, link_target), proxy in self.proxies.items():
            if target in (None, link_target):
                proxy.faults = Faults()
                self.portal.call(proxy.start_listening)

    def close_silenced_connections(self) -> None:
        """Close the silenced connections, which stay silenced after `heal`."""
        for proxy in self.proxies.values():
            self.portal.call(proxy.close_silenced_connections)


@contextmanager
def running_links() -> Iterator[Links]:
    """Run fault proxies in a background thread and stop them on exit.

    Yields
    ------
    Links
        Initially without links.
    """
    with start_blocking_portal() as portal:
        links = Links(portal)
        try:
            yield links
        finally:
            portal.call(portal.stop, True)
