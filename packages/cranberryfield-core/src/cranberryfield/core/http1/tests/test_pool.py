"""Tasks that use the pool of connections at the same time, in virtual time."""

from contextlib import suppress
from itertools import permutations

import anyio
import pytest

from cranberryfield.core.http1 import ConnectionPool, NotSentError

ADDRESSES = ("10.0.0.1:80", "10.0.0.2:80")
EXPIRED, OPEN = 5.0, 50.0
NOW = 10.0
MIXED = (EXPIRED, OPEN, EXPIRED, OPEN, EXPIRED)
ALL_EXPIRED = (EXPIRED,) * 3


class IdleConnection:
    """Connection whose closing lets other tasks run."""

    def __init__(self, open_until):
        self.open_until = open_until
        self.is_reusable = True
        self.idle_since = 0.0
        self.closings = 0

    def is_open_at(self, now):
        return now < self.open_until

    def has_carried(self, request_id):
        return False

    async def close(self):
        await anyio.sleep(0)
        self.closings += 1


class Pool:
    """Pool with expired and open connections to each address."""

    def __init__(self):
        self.pool = ConnectionPool(lambda: NOW, dial=self._refuse)
        self.connections = []
        self.acquired = []

    async def _refuse(self, address):
        raise NotSentError("no new connections")

    async def fill(self, kinds=MIXED):
        for address in ADDRESSES:
            for open_until in kinds:
                await self.keep(address, open_until)

    async def keep(self, address=ADDRESSES[0], open_until=OPEN):
        connection = IdleConnection(open_until)
        self.connections.append(connection)
        await self.pool.keep(address, connection)

    async def acquire(self):
        for address in ADDRESSES:
            with suppress(NotSentError):
                self.acquired.append(await self.pool.acquire(address))

    @property
    def idle(self):
        return [one for idle in self.pool._idle_connections.values() for one in idle]


async def expire(pool):
    await pool.pool.close_expired()


async def close_all(pool):
    await pool.pool.close_all()


async def close_address(pool):
    await pool.pool.close_address(ADDRESSES[0])


async def keep(pool):
    await anyio.sleep(0)
    await pool.keep()


async def acquire(pool):
    await pool.acquire()


STEPS = (expire, close_all, close_address, keep, acquire)
ORDERS = [*permutations(STEPS, 2), *permutations(STEPS, 3), *permutations(STEPS)]


# Guards against LOST: a relay ended since it closed expired connections while another
# task closed all, and against connections that are used twice or never closed.
@pytest.mark.parametrize(
    "steps", ORDERS, ids=["-".join(one.__name__ for one in order) for order in ORDERS]
)
@pytest.mark.parametrize("kinds", [MIXED, ALL_EXPIRED], ids=["mixed", "expired"])
def test_each_connection_is_idle_in_use_or_closed_once(steps, kinds):
    async def main():
        pool = Pool()
        await pool.fill(kinds)
        async with anyio.create_task_group() as tasks:
            for step in steps:
                tasks.start_soon(step, pool)
        return pool

    pool = anyio.run(main)
    places = [*pool.idle, *pool.acquired]
    assert len(set(map(id, places))) == len(places)
    for connection in pool.connections:
        is_held = any(connection is one for one in places)
        assert connection.closings == (0 if is_held else 1)
    assert all(one.is_open_at(NOW) for one in pool.acquired)


def test_a_cancelled_task_leaves_no_connection_behind():
    async def main():
        pool = Pool()
        await pool.fill()
        with anyio.CancelScope() as scope:
            scope.cancel()
            await pool.pool.close_expired()
        with anyio.CancelScope() as scope:
            scope.cancel()
            await pool.acquire()
        return pool

    pool = anyio.run(main)
    places = [*pool.idle, *pool.acquired]
    for connection in pool.connections:
        is_held = any(connection is one for one in places)
        assert connection.closings == (0 if is_held else 1)
