"""Hosts isolated instances of the policy and serves them over the simulator's wire format."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import BinaryIO

from tansyladder.policy.balancer import Balancer
from tansyladder.policy.events import Event
from tansyladder.simulator.wire import (
    BATCH_HEADER,
    REPLY_HEADER,
    InstanceRecord,
    Start,
    Stop,
    WireError,
    read_batch,
    read_settings,
    write_action,
)


class InstanceHost:
    """Holds the instances that have started and were not killed. Owned by one thread."""

    __slots__ = ("_instances",)

    def __init__(self) -> None:
        self._instances: dict[int, Balancer] = {}

    def run_batch(self, now: int, records: Iterable[InstanceRecord]) -> bytes:
        """Pass each instance its events, in order, and encode the actions it returns.

        Args:
            now: The time of the batch, in microseconds.
            records: Events in order; those of different instances may be interleaved.

        Returns:
            The encoded records of all actions, grouped by instance.

        Raises:
            WireError: An event is for an instance that has not started.
            ValueError: An instance starts with settings that can't be used.
        """
        events_by_instance: dict[int, list[Event]] = {}
        reply: list[bytes] = []
        for instance, event in records:
            if isinstance(event, Start):
                # Earlier events of this batch are for the previous instance with this number.
                reply += self._decide(instance, now, events_by_instance.pop(instance, []))
                self._instances[instance] = Balancer(read_settings(event.settings), event.seed, now)
            elif isinstance(event, Stop):
                events_by_instance.pop(instance, None)
                self._instances.pop(instance, None)
            elif instance in events_by_instance:
                events_by_instance[instance].append(event)
            else:
                events_by_instance[instance] = [event]
        for instance, events in events_by_instance.items():
            reply += self._decide(instance, now, events)
        return b"".join(reply)

    def _decide(self, instance: int, now: int, events: list[Event]) -> list[bytes]:
        """Pass an instance its events and encode the actions it returns."""
        if not events:
            return []
        balancer = self._instances.get(instance)
        if balancer is None:
            raise WireError(f"events for instance {instance}, which has not started")
        return [write_action(instance, action) for action in balancer.handle(now, events)]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends.

    Raises:
        WireError: The input does not conform to the wire format.
        ValueError: An instance starts with settings that can't be used.
    """
    host = InstanceHost()
    header_size = BATCH_HEADER.size
    while header := source.read(header_size):
        if len(header) < header_size:
            raise WireError(
                f"the input ended within a batch header, after {len(header)} of {header_size} bytes"
            )
        size, count, now = BATCH_HEADER.unpack(header)
        body = source.read(size)
        if len(body) < size:
            raise WireError(f"the input ended within a batch, after {len(body)} of {size} bytes of records")
        reply = host.run_batch(now, read_batch(count, body))
        sink.write(REPLY_HEADER.pack(len(reply)) + reply)
        sink.flush()


def main() -> int:
    """Serve standard input; if it can't be used, print the error as one line on standard error.

    Returns:
        The exit code: 0 when the input ended, 1 when it could not be used.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as err:
        print(f"tansyladder: {' '.join(str(err).split())}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
