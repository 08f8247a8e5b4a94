"""Links hold back and delay bytes, and the load balancer skips nodes that fail their health checks."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from tansyladder.lab.chaos.history import EventKind, History
from tansyladder.lab.chaos.links import Direction, Link, LoadBalancer
from tansyladder.lab.connections import LOOPBACK, Connection, connection

BLOCKED_TIME = 0.1  # seconds in which blocked bytes must not arrive
ARRIVAL_TIMEOUT = 5.0  # seconds in which bytes that are not blocked must arrive


@asynccontextmanager
async def echo_server() -> AsyncIterator[str]:
    """Run a server that answers PING and echoes all other lines; yield its address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(b"PONG\r\n" if line == b"PING\r\n" else line)
        writer.close()

    server = await asyncio.start_server(serve, LOOPBACK, 0)
    async with server:
        yield f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


@asynccontextmanager
async def echoing_link() -> AsyncIterator[Link]:
    """Run a link to an echo server."""
    async with echo_server() as address:
        link = Link(address)
        await link.start()
        try:
            yield link
        finally:
            await link.close()


async def receives_line(established: Connection, timeout: float) -> bool:
    """Return whether a line is received within the timeout."""
    try:
        return bool(await asyncio.wait_for(established.reader.readline(), timeout))
    except TimeoutError:
        return False


def test_a_cut_link_holds_bytes_back_in_its_direction_until_it_recovers() -> None:
    async def run(direction: Direction) -> None:
        async with echoing_link() as link, connection(link.address) as established:
            established.writer.write(b"one\r\n")
            assert await receives_line(established, ARRIVAL_TIMEOUT)
            link.cut(direction)
            established.writer.write(b"two\r\n")
            assert not await receives_line(established, BLOCKED_TIME)
            link.recover()
            assert await receives_line(established, ARRIVAL_TIMEOUT)
            # Both lines have the same length, and each passed in both directions.
            assert link.forwarded_bytes == 4 * len(b"one\r\n")

    for direction in Direction:
        asyncio.run(run(direction))


def test_a_delayed_link_delivers_bytes_late_and_without_a_delay_once_it_has_recovered() -> None:
    async def run() -> None:
        async with echoing_link() as link, connection(link.address) as established:
            link.delay_by(2 * BLOCKED_TIME)
            established.writer.write(b"one\r\n")
            assert not await receives_line(established, BLOCKED_TIME)
            assert await receives_line(established, ARRIVAL_TIMEOUT)
            link.recover()
            assert link.delay == 0

    asyncio.run(run())


def test_a_reset_link_ends_its_connections_and_accepts_new_ones() -> None:
    async def run() -> None:
        async with echoing_link() as link:
            async with connection(link.address) as established:
                established.writer.write(b"one\r\n")
                assert await receives_line(established, ARRIVAL_TIMEOUT)
                link.reset()
                with suppress(ConnectionResetError):
                    assert await established.reader.read() == b""
            async with connection(link.address) as established:
                established.writer.write(b"two\r\n")
                assert await receives_line(established, ARRIVAL_TIMEOUT)

    asyncio.run(run())


def test_the_load_balancer_forwards_to_healthy_nodes_only_and_records_where() -> None:
    async def run() -> list[int]:
        history = History()
        async with echo_server() as address:
            balancer = LoadBalancer(history, [f"{LOOPBACK}:1", address])  # nothing listens at the first
            await balancer.start()
            try:
                await asyncio.sleep(BLOCKED_TIME)  # the first health checks end
                for number in range(4):
                    async with connection(balancer.address) as established:
                        established.writer.write(b"OPEN %d key a=b\r\n" % number)
                        assert await receives_line(established, ARRIVAL_TIMEOUT)
            finally:
                await balancer.close()
        assert [event.connection_id for event in history.events] == ["0", "1", "2", "3"]
        assert {event.kind for event in history.events} == {EventKind.FORWARDED}
        return [event.node for event in history.events]

    assert asyncio.run(run()) == [1, 1, 1, 1]
