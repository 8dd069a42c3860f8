"""Random fault injection for the soak test, with the repair of each fault."""

import shutil
import signal
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from standins.cut_network import CutMode
from standins.platform_cluster import CONTROL, RELAYS, Cluster
from standins.proxy import FaultProxy

__all__ = [
    "ALL_HOSTS",
    "CUT_OFF",
    "Fault",
    "draw_fault",
    "draw_host_fault",
    "lose_power",
]

#: Maximum number of control hosts with a fault at the same time.
MAX_FAULTY_CONTROL_HOSTS = 1
MIN_DURATION_S, MAX_DURATION_S = 0.3, 4.0
#: The same for cuts from all runners, which hosts need time to notice.
MIN_CUT_S, MAX_CUT_S = 4.0, 7.0
#: Time without power, in seconds.
MIN_DARK_S, MAX_DARK_S = 0.1, 0.6
#: Name of the fault that cuts a relay off from all runners.
CUT_OFF = "cut off"
#: Target of a fault of all hosts.
ALL_HOSTS = "all hosts"


@dataclass(frozen=True, slots=True)
class Fault:
    """One injected fault.

    Attributes
    ----------
    name, target : str
        Kind of fault, and the host affected, or ``link``.
    duration_s : float
        Duration of the fault, in seconds.
    repair : callable
        Function that repairs the fault.
    """

    name: str
    target: str
    duration_s: float
    repair: Callable[[], None]


def _kill(cluster: Cluster, node: str) -> Callable[[], None]:
    cluster.processes[node].kill()
    return cluster.processes[node].start


def _freeze(cluster: Cluster, node: str) -> Callable[[], None]:
    cluster.processes[node].freeze()
    return cluster.processes[node].thaw


def _stop(cluster: Cluster, node: str) -> Callable[[], None]:
    process = cluster.processes[node]
    process.terminate()

    def restart() -> None:
        process.wait()
        process.start()

    return restart


def _send_sighup(cluster: Cluster, node: str) -> Callable[[], None]:
    process = cluster.processes[node]
    process.send_signal(signal.SIGHUP)

    def restart_if_ended() -> None:
        # The signal ends a process whose interpreter has not started yet; the platform
        # starts it again.
        if not process.is_running:
            process.start()

    return restart_if_ended


def _cut_off(cluster: Cluster, relay: str, rng: Random) -> Fault:
    mode = rng.choice(list(CutMode))
    cluster.cut_off(relay, mode)
    duration_s = rng.uniform(MIN_CUT_S, MAX_CUT_S)
    return Fault(
        f"{CUT_OFF} ({mode.value})",
        relay,
        duration_s,
        lambda: cluster.cut_off(relay, None),
    )


def lose_power(cluster: Cluster, rng: Random) -> Fault:
    """Kill all hosts at once; one control host may come back with an empty disk.

    Parameters
    ----------
    cluster : Cluster
        Processes without other faults.
    rng : random.Random
        Seeded random number generator.

    Returns
    -------
    Fault
        Injected fault, whose repair starts all hosts again.
    """
    hosts = [*CONTROL, *RELAYS]
    for node in hosts:
        cluster.processes[node].kill()
    wiped = rng.choice([None, *CONTROL])
    if wiped is not None:
        shutil.rmtree(cluster.folder / f"{wiped}-data", ignore_errors=True)

    def restart() -> None:
        for node in hosts:
            cluster.processes[node].start()

    name = f"lose power ({wiped or 'no'} disk lost)"
    return Fault(name, ALL_HOSTS, rng.uniform(MIN_DARK_S, MAX_DARK_S), restart)


_PROCESS_FAULTS = {
    "kill": _kill,
    "freeze": _freeze,
    "stop": _stop,
    "hang up": _send_sighup,
}


def draw_fault(
    cluster: Cluster, link: FaultProxy, portal, faulty: set[str], rng: Random
) -> Fault | None:
    """Draw a random fault and inject it.

    Parameters
    ----------
    cluster : Cluster
        Processes to inject faults into.
    link : FaultProxy
        Proxy between the relays and the runner.
    portal : anyio.from_thread.BlockingPortal
        Portal to the event loop of the proxy.
    faulty : set of str
        Targets that have a fault already; they get no second one.
    rng : random.Random
        Seeded random number generator.

    Returns
    -------
    Fault or None
        Injected fault, or None if the drawn target may not get a fault now.
    """
    duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
    if rng.random() < 0.4:
        return _draw_link_fault(link, portal, faulty, duration_s, rng)
    return draw_host_fault(cluster, faulty, duration_s, rng)


def draw_host_fault(
    cluster: Cluster, faulty: set[str], duration_s: float, rng: Random
) -> Fault | None:
    """Draw a random fault of a host and inject it; see `draw_fault`."""
    node = rng.choice([*CONTROL, *RELAYS])
    group = CONTROL if node in CONTROL else RELAYS
    max_faulty = MAX_FAULTY_CONTROL_HOSTS if group is CONTROL else len(RELAYS) - 1
    if node in faulty or len(faulty & set(group)) >= max_faulty:
        return None
    if group is RELAYS and rng.random() < 0.4:
        return _cut_off(cluster, node, rng)
    name = rng.choice(sorted(_PROCESS_FAULTS))
    return Fault(name, node, duration_s, _PROCESS_FAULTS[name](cluster, node))


def _draw_link_fault(
    link: FaultProxy, portal, faulty: set[str], duration_s: float, rng: Random
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

    def repair() -> None:
        link.faults.delay_s = 0.0
        link.faults.drop_to_client = link.faults.drop_to_target = False
        portal.call(link.close_silenced_connections)

    return Fault(name, "link", duration_s, repair)
