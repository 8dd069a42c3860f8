"""Which upstreams this host reaches directly."""

from dataclasses import dataclass, field

__all__ = [
    "UpstreamPaths",
    "forget_dead_ends",
    "is_dead_end",
    "needs_tunnel",
    "record_answer",
    "record_dead_end",
    "record_direct_path",
    "record_tunnel_only",
    "remove_address",
]

#: Upstreams that others reach and this host does not, with which it counts as cut off
#: from all unless another one answers meanwhile.
MIN_UPSTREAMS_CUT_OFF = 2
#: Time in which an upstream that no path reaches is not tried through other relays
#: again, in seconds.
DEAD_END_S = 1.0


@dataclass(slots=True)
class UpstreamPaths:
    """Section of the blackboard: addresses without a direct path.

    Attributes
    ----------
    tunnel_only : dict
        By address that another relay has reached and this host has not, the monotonic
        time in seconds of that.
    is_cut_off : bool
        Whether this host counts as cut off from all upstreams.
    answered_at : float
        Monotonic time in seconds at which an upstream last accepted a direct connection
        or answered on one.
    dead_end_until : dict
        By address that neither this host nor another relay has reached, the monotonic
        time in seconds until which no other relay is asked again.
    """

    tunnel_only: dict[str, float] = field(default_factory=dict)
    is_cut_off: bool = False
    answered_at: float = float("-inf")
    dead_end_until: dict[str, float] = field(default_factory=dict)


def needs_tunnel(paths: UpstreamPaths, address: str) -> bool:
    """Return whether a connection to an address should not be tried directly."""
    return paths.is_cut_off or address in paths.tunnel_only


def is_dead_end(paths: UpstreamPaths, address: str, now: float) -> bool:
    """Return whether no other relay has reached an address a moment ago."""
    return paths.dead_end_until.get(address, now) > now


def record_answer(paths: UpstreamPaths, now: float) -> bool:
    """Record that an upstream has answered on a direct connection, or accepted one.

    Parameters
    ----------
    paths : UpstreamPaths
        Changed in place.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the host counted as cut off until now.
    """
    paths.answered_at = now
    was_cut_off, paths.is_cut_off = paths.is_cut_off, False
    return was_cut_off


def record_direct_path(paths: UpstreamPaths, address: str, now: float) -> bool:
    """Record that a direct connection has opened; see `record_answer`."""
    paths.tunnel_only.pop(address, None)
    paths.dead_end_until.pop(address, None)
    return record_answer(paths, now)


def record_tunnel_only(paths: UpstreamPaths, address: str, now: float) -> bool:
    """Record that another relay has reached an address that this host has not.

    Parameters
    ----------
    paths : UpstreamPaths
        Changed in place.
    address : str
        Address of the upstream.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the host counts as cut off from all upstreams from now on.

    Examples
    --------
    >>> paths = UpstreamPaths()
    >>> record_tunnel_only(paths, "10.0.0.1:80", 1.0), needs_tunnel(paths, "10.0.0.2:9")
    (False, False)
    >>> record_tunnel_only(paths, "10.0.0.2:80", 2.0), needs_tunnel(paths, "10.0.0.3:9")
    (True, True)
    """
    paths.tunnel_only[address] = now
    silent = [at for at in paths.tunnel_only.values() if at > paths.answered_at]
    if paths.is_cut_off or len(silent) < MIN_UPSTREAMS_CUT_OFF:
        return False
    paths.is_cut_off = True
    return True


def remove_address(paths: UpstreamPaths, address: str) -> None:
    """Remove an address at which no relay finds an upstream any more."""
    paths.tunnel_only.pop(address, None)
    paths.is_cut_off = paths.is_cut_off and bool(paths.tunnel_only)


def forget_dead_ends(paths: UpstreamPaths, now: float) -> None:
    """Remove the dead ends that are over."""
    for address in [one for one, end in paths.dead_end_until.items() if end <= now]:
        del paths.dead_end_until[address]


def record_dead_end(paths: UpstreamPaths, address: str, now: float) -> None:
    """Record that neither this host nor another relay has reached an address."""
    paths.dead_end_until[address] = now + DEAD_END_S
