"""The loop that hosts isolated instances of the decision module on the simulator's wire."""

from __future__ import annotations

import sys
from typing import BinaryIO

from tansyladder.policy.balancer import Balancer
from tansyladder.policy.events import Event
from tansyladder.simulator import wire


def run_batch(hosts: dict[int, Balancer], now: int, count: int, body: bytes) -> bytes:
    """Play one batch; each instance sees its own events only, in order."""
    waiting: dict[int, list[Event]] = {}
    parts: list[bytes] = []

    def play(inst: int) -> None:
        events = waiting.pop(inst, None)
        if events:
            if inst not in hosts:
                raise wire.WireError(f"events for instance {inst}, which has not started")
            parts.extend(wire.write_action(inst, a) for a in hosts[inst].handle(now, events))

    for inst, event in wire.read_batch(count, body):
        if isinstance(event, wire.Start):
            play(inst)
            hosts[inst] = Balancer(wire.read_settings(event.settings), event.seed, now)
        elif isinstance(event, wire.Stop):
            waiting.pop(inst, None)
            hosts.pop(inst, None)
        else:
            waiting.setdefault(inst, []).append(event)
    for inst in list(waiting):
        play(inst)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    hosts: dict[int, Balancer] = {}
    while head := source.read(wire.HEADER.size):
        if len(head) < wire.HEADER.size:
            raise wire.WireError("the input ends within a header")
        size, count, now = wire.HEADER.unpack(head)
        body = source.read(size)
        if len(body) < size:
            raise wire.WireError("the input ends within a batch")
        reply = run_batch(hosts, now, count, body)
        sink.write(wire.COUNT.pack(len(reply)) + reply)
        sink.flush()


def main() -> int:
    """Serve standard input; say in one line what is wrong with it."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, ValueError) as err:
        print(f"tansyladder: {' '.join(str(err).split())}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
