"""The active configuration: one immutable snapshot that is replaced as a whole."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from tansyladder.config.platform import Config
from tansyladder.net.clock import MICROSECOND
from tansyladder.net.delay_reports import DelayMeter
from tansyladder.node.class_numbers import ClassNumbers
from tansyladder.policy.settings import Settings

# Delays are reported while their median exceeds the shortest message latency objective divided by this.
DELAY_THRESHOLD_DIVISOR = 3


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """A configuration and the values derived from it. Immutable."""

    config: Config
    class_numbers: Mapping[str, int]
    delay_meter: DelayMeter | None


class ActiveConfiguration:
    """The configuration that the node runs with.

    Any thread may read; each property reads the newest snapshot. Only the policy runner calls `apply`, under
    its lock, so that the policy's settings and the configuration change in one step.
    """

    def __init__(self, config: Config) -> None:
        self._classes = ClassNumbers(config)
        self._snapshot = _Snapshot(config, self._classes.numbers_by_class, build_delay_meter(config))

    @property
    def config(self) -> Config:
        """The configuration; its settings include earlier versions of its classes, for requests in flight."""
        return self._snapshot.config

    @property
    def settings(self) -> Settings:
        """The part of the configuration that holds the policy's settings."""
        return self._snapshot.config.settings

    @property
    def class_numbers(self) -> Mapping[str, int]:
        """The policy's number for each class, by class name."""
        return self._snapshot.class_numbers

    @property
    def delay_meter(self) -> DelayMeter | None:
        """The meter of message delays; None if delays are not reported or have no objective."""
        return self._snapshot.delay_meter

    def apply(self, config: Config) -> Config:
        """Make a configuration the active one.

        A class whose settings changed gets a new number; requests in flight keep their number and settings.

        Returns:
            The configuration that is now active, including the settings of earlier versions of its classes.
        """
        applied = replace(config, settings=self._classes.apply(config))
        self._snapshot = _Snapshot(applied, self._classes.numbers_by_class, build_delay_meter(config))
        return applied


def build_delay_meter(config: Config) -> DelayMeter | None:
    """Build the meter of message delays; None if delays are not reported or have no objective."""
    objectives = [
        settings.message_latency_objective_us
        for settings in config.settings.classes
        if settings.message_latency_objective_us
    ]
    if not config.reports_delay or not objectives:
        return None
    return DelayMeter(min(objectives) * MICROSECOND / DELAY_THRESHOLD_DIVISOR)
