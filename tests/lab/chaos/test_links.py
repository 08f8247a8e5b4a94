"""Links hold back and delay bytes, and the load balancer leaves out nodes that do not answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from tansyladder.lab.chaos.history import EventKind, History
from tansyladder.lab.chaos.links import Direction, Link, LoadBalancer
from tansyladder.lab.connections import LOOPBACK, Connection, connection

HELD_BACK = 0.1  # seconds in which bytes that are held back must not come
ARRIVAL = 5.0  # seconds in which all others must


@asynccontextmanager
async def echo_server() -> AsyncIterator[str]:
    """A server that answers PING, and sends all other lines back; its address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(b"PONG\r\n" if line == b"PING\r\n" else line)
        writer.close()

    server = await asyncio.start_server(serve, LOOPBACK, 0)
    async with server:
        yield f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


async def comes_back(opened: Connection, timeout: float) -> bool:
    """Whether a line comes in time."""
    try:
        return bool(await asyncio.wait_for(opened.reader.readline(), timeout))
    except TimeoutError:
        return False


def test_a_cut_link_holds_bytes_back_in_its_direction_until_it_recovers() -> None:
    async def run(direction: Direction) -> None:
        async with echo_server() as address:
            link = Link(address)
            await link.start()
            try:
                async with connection(link.address) as opened:
                    opened.writer.write(b"one\r\n")
                    assert await comes_back(opened, ARRIVAL)
                    link.cut(direction)
                    opened.writer.write(b"two\r\n")
                    assert not await comes_back(opened, HELD_BACK)
                    link.recover()
                    assert await comes_back(opened, ARRIVAL)
                    # "one" both ways, and "two" both ways
                    assert link.forwarded_bytes == 4 * len(b"one\r\n")
            finally:
                await link.close()

    for direction in Direction:
        asyncio.run(run(direction))


def test_a_reset_link_ends_its_connections_and_takes_new_ones() -> None:
    async def run() -> None:
        async with echo_server() as address:
            link = Link(address)
            await link.start()
            try:
                async with connection(link.address) as opened:
                    opened.writer.write(b"one\r\n")
                    assert await comes_back(opened, ARRIVAL)
                    link.reset()
                    with suppress(ConnectionResetError):
                        assert await opened.reader.read() == b""
                async with connection(link.address) as opened:
                    opened.writer.write(b"two\r\n")
                    assert await comes_back(opened, ARRIVAL)
            finally:
                await link.close()

    asyncio.run(run())


def test_the_load_balancer_forwards_to_healthy_nodes_only_and_records_where() -> None:
    async def run() -> list[int]:
        history = History()
        async with echo_server() as address:
            balancer = LoadBalancer(history, [f"{LOOPBACK}:1", address])  # nobody listens at the first
            await balancer.start()
            try:
                await asyncio.sleep(HELD_BACK)  # the first health check is answered
                for number in range(4):
                    async with connection(balancer.address) as opened:
                        opened.writer.write(b"OPEN %d key a=b\r\n" % number)
                        assert await comes_back(opened, ARRIVAL)
            finally:
                await balancer.close()
        assert [event.connection_id for event in history.events] == ["0", "1", "2", "3"]
        assert {event.kind for event in history.events} == {EventKind.FORWARDED}
        return [event.node for event in history.events]

    assert asyncio.run(run()) == [1, 1, 1, 1]
