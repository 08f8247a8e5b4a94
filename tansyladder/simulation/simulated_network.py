"""A simulated network that delays, drops, duplicates and reorders messages, and whose links may be cut."""

from __future__ import annotations

from collections.abc import Callable, Set
from functools import partial

import numpy

from tansyladder.simulation.event_loop import EventLoop
from tansyladder.simulation.fault_rates import NO_FAULTS, FaultRates, Link, draw_delays


class SimulatedNetwork:
    """Delivers messages between nodes at random times; messages that arrive over a cut link are lost."""

    def __init__(self, loop: EventLoop, rng: numpy.random.Generator, faults: FaultRates) -> None:
        """Create a network without cut links; `rng` draws losses, duplicates and delays."""
        self._loop = loop
        self._rng = rng
        self._faults = faults
        self._cut_links: set[Link] = set()

    def send(self, link: Link, on_arrival: Callable[[], None]) -> None:
        """Send a message, which may arrive never, once or twice."""
        for delay_us in draw_delays(self._rng, self._faults):
            self._deliver_after(delay_us, link, on_arrival)

    def send_without_duplicates(self, link: Link, on_arrival: Callable[[], None]) -> None:
        """Send a message, which may arrive never or once."""
        if self._rng.random() >= self._faults.loss_rate:
            self._deliver_after(int(self._rng.integers(*self._faults.delay_range_us)), link, on_arrival)

    def cut(self, links: Set[Link], duration_us: int) -> None:
        """Cut links for a time; messages that arrive over them during that time are lost."""
        self._cut_links |= links
        self._loop.call_at(self._loop.now + duration_us, partial(self._cut_links.difference_update, links))

    def end_faults(self) -> None:
        """Restore all links, and stop losing and duplicating messages."""
        self._cut_links.clear()
        self._faults = NO_FAULTS

    def _deliver_after(self, delay_us: int, link: Link, on_arrival: Callable[[], None]) -> None:
        """Schedule the arrival of a message; it is lost if its link is cut at that time."""
        self._loop.call_at(self._loop.now + delay_us, partial(self._arrive, link, on_arrival))

    def _arrive(self, link: Link, on_arrival: Callable[[], None]) -> None:
        """Deliver a message unless its link is cut."""
        if link not in self._cut_links:
            on_arrival()
