"""Cheapest mix of hosts that tolerates the loss of any one data centre."""

from dataclasses import dataclass

from cranberryfield.core.ids import DataCentre

__all__ = ["Mix", "Offer", "cheapest_mix"]

#: Maximum number of capacity units in the search; bounds its run time. Larger
#: needs are counted in units of several requests, rounded up.
MAX_UNITS = 48


@dataclass(frozen=True, slots=True)
class Offer:
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
class Mix:
    """Number of hosts to run of each offer and their total hourly price."""

    hosts: dict[Offer, int]
    price_per_h: float


#: Cheapest known mix for each number of capacity units.
_Table = dict[int, Mix]


def cheapest_mix(offers: tuple[Offer, ...], need: int) -> Mix | None:
    """Return the cheapest mix that still suffices after losing any data centre.

    Parameters
    ----------
    offers : tuple of Offer
        Available hosts.
    need : int
        Concurrent requests that must be served after the loss of any one data
        centre.

    Returns
    -------
    Mix or None
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
    ...     return Offer(centre, "spot", price, 1, 10)
    >>> offers = (offer("fann", 1.0), offer("plateau", 2.0), offer("rufisque", 9.0))
    >>> mix = cheapest_mix(offers, 2)
    >>> sorted((one.data_centre, count) for one, count in mix.hosts.items())
    [('fann', 2), ('plateau', 2)]
    """
    if need <= 0:
        return Mix({}, 0.0)
    unit = -(-need // MAX_UNITS)
    needed = -(-need // unit)
    tables = [
        _table_of([one for one in offers if one.data_centre == centre], needed, unit)
        for centre in sorted({one.data_centre for one in offers})
    ]
    mixes = [_mix_within(tables, needed, largest) for largest in range(1, needed + 1)]
    found = [mix for mix in mixes if mix is not None]
    return min(found, key=lambda mix: mix.price_per_h, default=None)


def _table_of(offers: list[Offer], most: int, unit: int) -> _Table:
    """Return the cheapest mix for each number of units in one data centre.

    The capacity of a mix is rounded down to whole units, so the result may
    contain more hosts than necessary, never fewer.
    """
    states: dict[int, Mix] = {0: Mix({}, 0.0)}
    for offer in offers:
        grown = dict(states)
        for capacity, mix in states.items():
            for count in range(1, offer.available + 1):
                total = capacity + count * offer.capacity
                price = mix.price_per_h + count * offer.price_per_h
                _keep_cheaper(grown, total, Mix({**mix.hosts, offer: count}, price))
                if total >= (most + 1) * unit:
                    break
        states = grown
    table: _Table = {}
    for capacity, mix in states.items():
        _keep_cheaper(table, capacity // unit, mix)
    return table


def _keep_cheaper(table: _Table, units: int, mix: Mix) -> None:
    known = table.get(units)
    if known is None or mix.price_per_h < known.price_per_h:
        table[units] = mix


def _mix_within(tables: list[_Table], needed: int, largest: int) -> Mix | None:
    """Return the cheapest mix that counts at most `largest` units per data centre.

    The mix provides ``needed + largest`` units in total. Units of a data centre
    beyond `largest` are not counted.
    """
    wanted = needed + largest
    states: _Table = {0: Mix({}, 0.0)}
    for table in tables:
        grown: _Table = {}
        for units, mix in states.items():
            for more, part in table.items():
                total = min(wanted, units + min(more, largest))
                hosts = {**mix.hosts, **part.hosts}
                price = mix.price_per_h + part.price_per_h
                _keep_cheaper(grown, total, Mix(hosts, price))
        states = grown
    return states.get(wanted)
