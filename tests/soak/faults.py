"""Faults that the soak draws, each with its undoing."""

import signal
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from standins.platform_cluster import CONTROL, RELAYS, Cluster
from standins.proxy import FaultProxy

__all__ = ["Fault", "draw_fault"]

#: Control hosts that may be down or frozen at once.
MAX_LOST_CONTROL = 1
SHORTEST_S, LONGEST_S = 0.3, 4.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in progress.

    Attributes
    ----------
    name, target : str
        What was done, and to whom.
    lasts_s : float
        After how many seconds it is undone.
    undo : callable
        Ends it.
    """

    name: str
    target: str
    lasts_s: float
    undo: Callable[[], None]


def _kill(cluster: Cluster, node: str) -> Callable[[], None]:
    cluster.processes[node].kill()
    return cluster.processes[node].start


def _freeze(cluster: Cluster, node: str) -> Callable[[], None]:
    cluster.processes[node].freeze()
    return cluster.processes[node].thaw


def _stop(cluster: Cluster, node: str) -> Callable[[], None]:
    process = cluster.processes[node]
    process.terminate()

    def start_again() -> None:
        process.wait()
        process.start()

    return start_again


def _hang_up(cluster: Cluster, node: str) -> Callable[[], None]:
    cluster.processes[node].send_signal(signal.SIGHUP)
    return lambda: None


_OF_PROCESSES = {"kill": _kill, "freeze": _freeze, "stop": _stop, "hang up": _hang_up}


def draw_fault(
    cluster: Cluster, link: FaultProxy, portal, faulty: set[str], rng: Random
) -> Fault | None:
    """Draw a fault and begin it.

    Parameters
    ----------
    cluster : Cluster
        The processes.
    link : FaultProxy
        The connections between relays and the runner.
    portal : anyio.from_thread.BlockingPortal
        Reaches the proxy's event loop.
    faulty : set of str
        What has a fault already, and gets no second one.
    rng : random.Random
        Seeded generator.

    Returns
    -------
    Fault or None
        None if what was drawn may not be faulty now.
    """
    lasts_s = rng.uniform(SHORTEST_S, LONGEST_S)
    if rng.random() < 0.4:
        return _fault_of_link(link, portal, faulty, lasts_s, rng)
    node = rng.choice([*CONTROL, *RELAYS])
    group = CONTROL if node in CONTROL else RELAYS
    most = MAX_LOST_CONTROL if group is CONTROL else len(RELAYS) - 1
    if node in faulty or len(faulty & set(group)) >= most:
        return None
    name = rng.choice(sorted(_OF_PROCESSES))
    return Fault(name, node, lasts_s, _OF_PROCESSES[name](cluster, node))


def _fault_of_link(
    link: FaultProxy, portal, faulty: set[str], lasts_s: float, rng: Random
) -> Fault | None:
    if "link" in faulty:
        return None
    name = rng.choice(["reset", "silence", "delay", "lose answers", "lose requests"])
    if name == "reset":
        portal.call(link.close_open_connections)
    elif name == "silence":
        portal.call(link.silence_open_connections)
    elif name == "delay":
        link.faults.delay_s = rng.uniform(0.01, 0.5)
    elif name == "lose answers":
        link.faults.drop_to_client = True
    else:
        link.faults.drop_to_target = True

    def undo() -> None:
        link.faults.delay_s = 0.0
        link.faults.drop_to_client = link.faults.drop_to_target = False
        portal.call(link.close_silenced_connections)

    return Fault(name, "link", lasts_s, undo)
