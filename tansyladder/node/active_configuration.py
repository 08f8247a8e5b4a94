"""The configuration in force: one immutable snapshot that is replaced as a whole."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from tansyladder.config.platform import Config
from tansyladder.net.clock import MICROSECOND
from tansyladder.net.delay_reports import DelayMeter
from tansyladder.node.class_numbers import ClassNumbers
from tansyladder.policy.settings import Settings

# A message counts as slow from this part of the shortest latency objective for messages.
DELAY_THRESHOLD_DIVISOR = 3


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """What one configuration comes to; never changed after it was made."""

    config: Config
    class_numbers: Mapping[str, int]
    delay_meter: DelayMeter | None


class ActiveConfiguration:
    """The configuration that the node runs with.

    Any thread may read; each property belongs to the newest snapshot. `apply` is called by the policy runner
    alone, under its lock, so that the policy's settings and the configuration change in one step.
    """

    def __init__(self, config: Config) -> None:
        self._classes = ClassNumbers(config)
        self._snapshot = _Snapshot(config, self._classes.in_force, build_delay_meter(config))

    @property
    def config(self) -> Config:
        """The configuration, with the settings of all versions of each class."""
        return self._snapshot.config

    @property
    def settings(self) -> Settings:
        """The policy's settings, which are a part of the configuration."""
        return self._snapshot.config.settings

    @property
    def class_numbers(self) -> Mapping[str, int]:
        """The policy's number of each class, by name."""
        return self._snapshot.class_numbers

    @property
    def delay_meter(self) -> DelayMeter | None:
        """The meter of message delays; None where the platform reports none."""
        return self._snapshot.delay_meter

    def apply(self, config: Config) -> Config:
        """Put a configuration in force.

        A class whose settings changed gets a new number; requests in flight keep their number and settings.

        Returns:
            The configuration as it is in force, with the settings of earlier versions of its classes.
        """
        applied = replace(config, settings=self._classes.apply(config))
        self._snapshot = _Snapshot(applied, self._classes.in_force, build_delay_meter(config))
        return applied


def build_delay_meter(config: Config) -> DelayMeter | None:
    """Build the meter of message delays; None where the platform reports none."""
    objectives = [
        settings.message_latency_objective_us
        for settings in config.settings.classes
        if settings.message_latency_objective_us
    ]
    if not config.reports_delay or not objectives:
        return None
    return DelayMeter(min(objectives) * MICROSECOND / DELAY_THRESHOLD_DIVISOR)
