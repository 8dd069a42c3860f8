"""Cheapest mix of hosts that tolerates the loss of any one data centre."""

from dataclasses import dataclass

from cranberryfield.core.ids import DataCentre

__all__ = ["HostMix", "HostOffer", "cheapest_mix"]

#: Maximum number of capacity units in the search; bounds its run time. Larger
#: needs are counted in units of several requests, rounded up.
MAX_UNITS = 48


@dataclass(frozen=True, slots=True)
class HostOffer:
    """Hosts of one machine class available in one data centre.

    Attributes
    ----------
    data_centre : DataCentre
        Data centre of the hosts.
    machine_class : str
        Machine class, named as in the cloud API.
    price_per_h : float
        Hourly price of one host.
    capacity : int
        Concurrent requests that one host serves within the latency target.
    available : int
        Maximum number of hosts available.
    """

    data_centre: DataCentre
    machine_class: str
    price_per_h: float
    capacity: int
    available: int


@dataclass(frozen=True, slots=True)
class HostMix:
    """Number of hosts to run of each offer and their total hourly price."""

    hosts: dict[HostOffer, int]
    price_per_h: float


#: Cheapest known mix for each number of capacity units.
_MixByUnits = dict[int, HostMix]


def cheapest_mix(offers: tuple[HostOffer, ...], need: int) -> HostMix | None:
    """Return the cheapest mix that still suffices after losing any data centre.

    Parameters
    ----------
    offers : tuple of HostOffer
        Available hosts.
    need : int
        Concurrent requests that must be served after the loss of any one data
        centre.

    Returns
    -------
    HostMix or None
        The mix, or None if the offers do not suffice.

    Notes
    -----
    If no data centre counts for more than `L` units and the total is at least
    ``need + L``, the remaining capacity suffices without any one of them. For
    each `L`, the cheapest such mix is found by dynamic programming over the data
    centres, in units of at least ``need / 48`` requests.

    Examples
    --------
    >>> def offer(centre, price):
    ...     return HostOffer(centre, "spot", price, 1, 10)
    >>> offers = (offer("fann", 1.0), offer("plateau", 2.0), offer("rufisque", 9.0))
    >>> mix = cheapest_mix(offers, 2)
    >>> sorted((one.data_centre, count) for one, count in mix.hosts.items())
    [('fann', 2), ('plateau', 2)]
    """
    if need <= 0:
        return HostMix({}, 0.0)
    unit = -(-need // MAX_UNITS)
    needed = -(-need // unit)
    tables = [
        _cheapest_by_units(
            [one for one in offers if one.data_centre == centre], needed, unit
        )
        for centre in sorted({one.data_centre for one in offers})
    ]
    mixes = [
        _cheapest_mix_within(tables, needed, max_centre_units)
        for max_centre_units in range(1, needed + 1)
    ]
    feasible = [mix for mix in mixes if mix is not None]
    return min(feasible, key=lambda mix: mix.price_per_h, default=None)


def _cheapest_by_units(
    offers: list[HostOffer], max_units: int, unit: int
) -> _MixByUnits:
    """Return the cheapest mix for each number of units in one data centre.

    The capacity of a mix is rounded down to whole units, so the result may
    contain more hosts than necessary, never fewer.
    """
    states: dict[int, HostMix] = {0: HostMix({}, 0.0)}
    for offer in offers:
        extended = dict(states)
        for capacity, mix in states.items():
            for count in range(1, offer.available + 1):
                total = capacity + count * offer.capacity
                price = mix.price_per_h + count * offer.price_per_h
                _store_if_cheaper(
                    extended, total, HostMix({**mix.hosts, offer: count}, price)
                )
                if total >= (max_units + 1) * unit:
                    break
        states = extended
    table: _MixByUnits = {}
    for capacity, mix in states.items():
        _store_if_cheaper(table, capacity // unit, mix)
    return table


def _store_if_cheaper(table: _MixByUnits, units: int, mix: HostMix) -> None:
    known = table.get(units)
    if known is None or mix.price_per_h < known.price_per_h:
        table[units] = mix


def _cheapest_mix_within(
    tables: list[_MixByUnits], needed: int, max_centre_units: int
) -> HostMix | None:
    """Return the cheapest mix with a limit on the units per data centre.

    The mix provides ``needed + max_centre_units`` units in total. Units of a data
    centre beyond `max_centre_units` are not counted.
    """
    total_needed = needed + max_centre_units
    states: _MixByUnits = {0: HostMix({}, 0.0)}
    for table in tables:
        extended: _MixByUnits = {}
        for units, mix in states.items():
            for centre_units, centre_mix in table.items():
                total = min(total_needed, units + min(centre_units, max_centre_units))
                hosts = {**mix.hosts, **centre_mix.hosts}
                price = mix.price_per_h + centre_mix.price_per_h
                _store_if_cheaper(extended, total, HostMix(hosts, price))
        states = extended
    return states.get(total_needed)
