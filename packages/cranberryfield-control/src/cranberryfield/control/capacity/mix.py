"""The cheapest mix of hosts that outlives its largest data centre."""

from dataclasses import dataclass

from cranberryfield.core.ids import DataCentre

__all__ = ["Mix", "Offer", "cheapest_mix"]

#: Larger needs are rounded up to this many units, to bound the search.
MAX_UNITS = 48


@dataclass(frozen=True, slots=True)
class Offer:
    """Hosts of one class that can be had in one data centre.

    Attributes
    ----------
    data_centre : DataCentre
        Where.
    machine_class : str
        As the cloud API names it.
    price_per_h : float
        Price of one host for an hour.
    capacity : int
        Requests in progress that one host carries within the latency target.
    available : int
        Most hosts that can be had.
    """

    data_centre: DataCentre
    machine_class: str
    price_per_h: float
    capacity: int
    available: int


@dataclass(frozen=True, slots=True)
class Mix:
    """Hosts to run, by offer, and their price for an hour."""

    hosts: dict[Offer, int]
    price_per_h: float


#: By units of capacity, the cheapest way to have at least that many.
_Table = dict[int, Mix]


def cheapest_mix(offers: tuple[Offer, ...], need: int) -> Mix | None:
    """Return the cheapest hosts that still suffice without any data centre.

    Parameters
    ----------
    offers : tuple of Offer
        What can be had.
    need : int
        Requests in progress that must be carried with one data centre gone.

    Returns
    -------
    Mix or None
        None if the offers do not suffice.

    Notes
    -----
    If no data centre has more than `L` units and all together have
    ``need + L``, then what is left without any one of them is enough. For each
    `L` the cheapest such mix is found by dynamic programming over the data
    centres, in units of ``need / 48`` at the least.

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
    """Return the cheapest way to each number of units in one data centre.

    A mix counts for its whole units only, which errs towards more hosts.
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
    """Return the cheapest mix in which no data centre counts for more than a size.

    What a data centre has beyond `largest` is not counted.
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
