"""A network on a virtual clock that delays, drops, duplicates, reorders and cuts."""

from __future__ import annotations

from collections.abc import Callable, Set
from functools import partial

import numpy

from tansyladder.simulation.event_loop import EventLoop
from tansyladder.simulation.fault_rates import NO_FAULTS, FaultRates, Link, draw_delays


class SimulatedNetwork:
    """Carries messages between nodes, and loses those that arrive over a cut link."""

    def __init__(self, loop: EventLoop, rng: numpy.random.Generator, faults: FaultRates) -> None:
        """Begin with all links up; `rng` draws losses, duplicates and delays."""
        self._loop = loop
        self._rng = rng
        self._faults = faults
        self._cut_links: set[Link] = set()

    def send(self, link: Link, on_arrival: Callable[[], None]) -> None:
        """Send a message, which may arrive once, several times or never."""
        for delay_us in draw_delays(self._rng, self._faults):
            self._deliver_after(delay_us, link, on_arrival)

    def send_without_duplicates(self, link: Link, on_arrival: Callable[[], None]) -> None:
        """Send a message, which may arrive once or never."""
        if self._rng.random() >= self._faults.loss_rate:
            self._deliver_after(int(self._rng.integers(*self._faults.delay_range_us)), link, on_arrival)

    def cut(self, links: Set[Link], duration_us: int) -> None:
        """Cut links for a time; what arrives over them meanwhile is lost."""
        self._cut_links |= links
        self._loop.call_at(self._loop.now + duration_us, partial(self._cut_links.difference_update, links))

    def end_faults(self) -> None:
        """Bring all links up, and lose and duplicate no further message."""
        self._cut_links.clear()
        self._faults = NO_FAULTS

    def _deliver_after(self, delay_us: int, link: Link, on_arrival: Callable[[], None]) -> None:
        """Schedule an arrival, which a cut at that time prevents."""
        self._loop.call_at(self._loop.now + delay_us, partial(self._arrive, link, on_arrival))

    def _arrive(self, link: Link, on_arrival: Callable[[], None]) -> None:
        """Deliver a message, unless its link is cut."""
        if link not in self._cut_links:
            on_arrival()
